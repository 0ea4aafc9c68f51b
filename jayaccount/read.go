// Package jayaccount computes from the logs of all entries how the time of jobs and
// instances was spent. It reads log lines and writes tables; it has no other input
// or output.
package jayaccount

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// line holds the fields of a log line that the account uses.
type line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Queue   string    `json:"queue"`
	Pool    string    `json:"pool"`
	Detail  string    `json:"detail"`
	Took    string    `json:"took"`
	Within  string    `json:"within"`
	Waited  string    `json:"waited"`

	CoreSeconds float64 `json:"coreSeconds"`

	Need        int   `json:"need"`
	On          int   `json:"on"`
	Idle        int   `json:"idle"`
	LongRunning int   `json:"longRunning"`
	Coming      int   `json:"coming"`
	Leaving     int   `json:"leaving"`
	Off         int   `json:"off"`
	UsedMilli   int64 `json:"usedMilli"`
	RoomMilli   int64 `json:"roomMilli"`
}

// LogReader reads the log lines that an account is computed from.
type LogReader struct {
	jobs   map[string]*job
	states []poolState
}

// job holds the values of the log lines about one job.
type job struct {
	queue     string
	pool      string
	submitted time.Time
	accepted  time.Time
	declared  time.Time
	ended     time.Time
	recorded  time.Time
	within    time.Duration
	// work is the declared work in core-seconds.
	work     float64
	outcome  string
	refusals int
	// waits holds the periods in which a task that was ready to run had no worker.
	waits []interval
	// starts is the number of runs, repeats the number of those whose task had run
	// before.
	starts  int
	repeats int
	tasks   map[string]bool
}

type interval struct {
	from, to time.Time
}

// poolState is the state of a pool at one time.
type poolState struct {
	at time.Time
	line
}

// NewLogReader returns a reader that has read no lines.
func NewLogReader() *LogReader {
	return &LogReader{jobs: map[string]*job{}}
}

// Read adds the lines of a log. Log collectors may have put a prefix before a line;
// lines without a JSON object are skipped.
func (l *LogReader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var read line
		if json.Unmarshal(text[start:], &read) == nil {
			l.add(&read)
		}
	}
	return scanner.Err()
}

// add adds one line.
func (l *LogReader) add(read *line) {
	switch read.Message {
	case "pool state":
		l.states = append(l.states, poolState{at: read.Time, line: *read})
	case "job accepted":
		j := l.job(read.Job, read)
		if j.accepted.IsZero() || read.Time.Before(j.accepted) {
			j.accepted = read.Time
			j.submit(read.Time.Add(-parseDuration(read.Took)))
		}
	case "job not accepted":
		j := l.job(read.Job, read)
		j.refusals++
		j.submit(read.Time.Add(-parseDuration(read.Took)))
	case "job declared":
		j := l.job(read.Job, read)
		if j.declared.IsZero() {
			j.declared, j.within, j.work = read.Time, parseDuration(read.Within), read.CoreSeconds
		}
	case "run started":
		id, _, _ := strings.Cut(read.Task, ".")
		l.job(id, read).start(read)
	case "job ended":
		j := l.job(read.Job, read)
		j.ended, j.outcome = read.Time, outcomeOf(read.Detail)
	case "job recorded":
		l.job(read.Job, read).recorded = read.Time
	}
}

// job returns the job with the given ID and creates it if it is not known yet.
func (l *LogReader) job(id string, read *line) *job {
	j, known := l.jobs[id]
	if !known {
		j = &job{tasks: map[string]bool{}}
		l.jobs[id] = j
	}
	if j.queue == "" {
		j.queue = read.Queue
	}
	if j.pool == "" {
		j.pool = read.Pool
	}
	return j
}

// submit sets the submission time if it is the earliest one so far. Several entries may
// have logged the job.
func (j *job) submit(at time.Time) {
	if j.submitted.IsZero() || at.Before(j.submitted) {
		j.submitted = at
	}
}

func (j *job) start(read *line) {
	j.starts++
	if j.tasks[read.Task] {
		j.repeats++
	}
	j.tasks[read.Task] = true
	if waited := parseDuration(read.Waited); waited > 0 {
		j.waits = append(j.waits, interval{from: read.Time.Add(-waited), to: read.Time})
	}
}

// outcomeOf returns the first word of the detail of a job's end: done, failed or
// canceled.
func outcomeOf(detail string) string {
	word, _, _ := strings.Cut(detail, ":")
	return word
}

// parseDuration returns zero for a missing or malformed duration.
func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}
