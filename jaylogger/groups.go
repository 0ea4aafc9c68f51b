package jaylogger

import (
	"fmt"
	"strings"

	"github.com/go-logr/logr"
)

// maxNamesPerLine limits the names in a line of Groups, so that the line stays readable.
const maxNamesPerLine = 100

// Groups collects what happens to single hosts or entries and writes one line for all to which
// the same happened: it can happen to thousands at once. It must not be used concurrently.
type Groups struct {
	key   string // of the line that names the members of a group
	lines map[string]*groupLine
	order []string
}

// groupLine is a line of the log and the names that it is about.
type groupLine struct {
	message string
	values  []any
	names   []string
	count   int
}

// NewGroups returns groups whose lines have the names of their members under a key.
func NewGroups(key string) *Groups {
	return &Groups{key: key, lines: map[string]*groupLine{}}
}

// Add adds a name to the line with the given message, keys and values.
func (g *Groups) Add(name, message string, values ...any) {
	key := message + fmt.Sprint(values...)
	line, known := g.lines[key]
	if !known {
		line = &groupLine{message: message, values: values}
		g.lines[key] = line
		g.order = append(g.order, key)
	}
	line.count++
	if len(line.names) < maxNamesPerLine {
		line.names = append(line.names, name)
	}
}

// Write writes the collected lines and removes them.
func (g *Groups) Write(logger logr.Logger) {
	for _, key := range g.order {
		line := g.lines[key]
		logger.Info(line.message, append(line.values, "count", line.count, g.key, strings.Join(line.names, " "))...)
	}
	clear(g.lines)
	g.order = g.order[:0]
}
