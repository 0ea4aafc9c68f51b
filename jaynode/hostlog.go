package jaynode

import (
	"fmt"
	"strings"

	"github.com/go-logr/logr"
)

// maxHostsPerLine limits the hosts that a log line names, so that a line stays readable.
const maxHostsPerLine = 100

// hostLog collects log lines about single hosts and writes one line for all hosts to which the
// same happened, since thousands of hosts can move at once.
type hostLog struct {
	lines map[string]*hostLine
	order []string
}

// hostLine is a line of the log and the hosts that it is about.
type hostLine struct {
	message string
	values  []any
	hosts   []string
	count   int
}

func newHostLog() *hostLog {
	return &hostLog{lines: map[string]*hostLine{}}
}

// add adds a host to the line with the given message and values.
func (l *hostLog) add(host, message string, values ...any) {
	key := message + fmt.Sprint(values...)
	line, known := l.lines[key]
	if !known {
		line = &hostLine{message: message, values: values}
		l.lines[key] = line
		l.order = append(l.order, key)
	}
	line.count++
	if len(line.hosts) < maxHostsPerLine {
		line.hosts = append(line.hosts, host)
	}
}

// write writes the collected lines, with the hosts after the values, and removes them.
func (l *hostLog) write(logger logr.Logger) {
	for _, key := range l.order {
		line := l.lines[key]
		logger.Info(line.message, append(line.values, "count", line.count, "hosts", strings.Join(line.hosts, " "))...)
	}
	clear(l.lines)
	l.order = l.order[:0]
}
