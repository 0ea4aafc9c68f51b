// Package jaytrace merges log lines of several entries into the timeline of one
// job. It has no side effects except on the readers and writers that it is given.
package jaytrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is a log line about the job or one of its tasks.
type Line struct {
	At time.Time
	// Entry is the entry that wrote the line.
	Entry   string
	Part    string
	Message string
	// Values holds the other fields of the line, except for its level.
	Values map[string]any
}

// stages lists the messages that mark the progress of a job, in their causal order.
// If an entry logged a later stage before another entry logged an earlier one,
// their clocks differ. "job accepted" is not a stage: the job's owner may read the
// job from the store before the entry that accepted it has the store's response.
var stages = []string{"job declared", "run started", "run ended", "job ended", "job recorded"}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Collect returns the lines of a log that name the job or one of its tasks. Log
// collectors may have put a prefix before a line; lines without a JSON object are
// skipped.
func Collect(log io.Reader, job string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes(), job); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(text []byte, job string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || !bytes.Contains(text, []byte(job)) {
		return Line{}, false
	}
	var values map[string]any
	if json.Unmarshal(text[start:], &values) != nil || !isAboutJob(values, job) {
		return Line{}, false
	}
	line := Line{Values: values}
	line.Entry = takeText(values, "entry")
	line.Part = takeText(values, "part")
	line.Message = takeText(values, "message")
	at, err := time.Parse(time.RFC3339Nano, takeText(values, "time"))
	line.At = at
	delete(values, "level")
	return line, err == nil
}

func isAboutJob(values map[string]any, job string) bool {
	if values["job"] == job {
		return true
	}
	task, _ := values["task"].(string)
	return strings.HasPrefix(task, job+".")
}

func takeText(values map[string]any, key string) string {
	text, _ := values[key].(string)
	delete(values, key)
	return text
}

// Merge sorts the lines by time.
func Merge(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// Write prints the timeline. For each line it shows the time since the first line,
// the time since the previous line, the entry, the part of the system, the message
// and the other fields. Clock differences follow at the end.
func Write(out io.Writer, lines []Line) error {
	for n, line := range lines {
		since, gap := line.At.Sub(lines[0].At), time.Duration(0)
		if n > 0 {
			gap = line.At.Sub(lines[n-1].At)
		}
		_, err := fmt.Fprintf(out, "%9.3fs %+8.3fs  %-14s %-8s %s%s\n",
			since.Seconds(), gap.Seconds(), line.Entry, line.Part, line.Message, valuesText(line.Values))
		if err != nil {
			return err
		}
	}
	for _, d := range ClockDifferences(lines) {
		if _, err := fmt.Fprintln(out, d); err != nil {
			return err
		}
	}
	return nil
}

func valuesText(values map[string]any) string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&b, "  %s=%v", key, values[key])
	}
	return b.String()
}

// ClockDifferences describes each pair of stages that shows a difference between
// the clocks of two entries: one entry logged a later stage before the other logged
// an earlier one.
func ClockDifferences(lines []Line) []string {
	first := map[string]Line{}
	for _, line := range lines {
		if _, seen := first[line.Message]; !seen {
			first[line.Message] = line
		}
	}
	var found []string
	for n, later := range stages {
		b, ok := first[later]
		for _, earlier := range stages[:n] {
			a, known := first[earlier]
			if ok && known && a.Entry != b.Entry && b.At.Before(a.At) {
				found = append(found, fmt.Sprintf("clocks differ: %s has %q %s before %s has %q",
					b.Entry, later, a.At.Sub(b.At), a.Entry, earlier))
			}
		}
	}
	return found
}
