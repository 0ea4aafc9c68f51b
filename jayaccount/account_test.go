package jayaccount

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// logLine returns a log line written at a number of milliseconds after the epoch.
func logLine(millis int, fields string) string {
	stamp := time.UnixMilli(int64(millis)).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf("entry-1 {%s,\"time\":%q}\n", fields, stamp)
}

// jobLines returns the log lines of one job that was submitted, waited, ran and was
// done.
func jobLines(id, queue string, submitted, waited, took, within int, cores float64) string {
	started := submitted + 100 + waited
	ended := started + took
	return logLine(submitted+100, fmt.Sprintf(`"message":"job accepted","job":%q,"queue":%q,"pool":"p","took":"100ms"`, id, queue)) +
		logLine(submitted+120, fmt.Sprintf(`"message":"job declared","job":%q,"queue":%q,"pool":"p","within":"%dms","coreSeconds":%g`, id, queue, within, cores)) +
		logLine(started, fmt.Sprintf(`"message":"run started","task":"%s.0.0.0","pool":"p","waited":"%dms"`, id, waited)) +
		logLine(ended, fmt.Sprintf(`"message":"job ended","job":%q,"pool":"p","detail":"done"`, id)) +
		logLine(ended+50, fmt.Sprintf(`"message":"job recorded","job":%q,"pool":"p"`, id))
}

func stateLine(millis, need, on, idle, longRunning, coming, off int, used, room int) string {
	return logLine(millis, fmt.Sprintf(`"message":"pool state","pool":"p","need":%d,"on":%d,"idle":%d,"longRunning":%d,"coming":%d,"off":%d,"usedMilli":%d,"roomMilli":%d`,
		need, on, idle, longRunning, coming, off, used, room))
}

func accountOf(t *testing.T, log string) Account {
	t.Helper()
	l := NewLogReader()
	is.New(t).NoErr(l.Read(strings.NewReader(log)))
	return l.Account()
}

func TestQueueRows(t *testing.T) {
	t.Run("durations of a job", func(t *testing.T) {
		is := is.New(t)
		a := accountOf(t, stateLine(0, 1, 1, 0, 0, 0, 0, 500, 1000)+jobLines("a", "q", 100, 300, 400, 2000, 1))
		is.Equal(len(a.Queues), 1)
		r := a.Queues[0]
		is.Equal(r.Jobs, 1)
		is.Equal(r.Late, 0)
		is.Equal(r.AcceptDelay, 100*time.Millisecond)
		is.Equal(r.DeclareDelay, 20*time.Millisecond)
		is.Equal(r.Waited[Full], 300*time.Millisecond)
		is.Equal(r.RecordDelay, 50*time.Millisecond)
		is.Equal(r.Starts, 1)
	})
	t.Run("late, refused and open jobs", func(t *testing.T) {
		is := is.New(t)
		log := jobLines("a", "q", 100, 0, 400, 499, 1) +
			logLine(200, `"message":"job not accepted","job":"b","queue":"q","pool":"p","took":"10ms"`) +
			logLine(300, `"message":"job accepted","job":"c","queue":"q","pool":"p","took":"10ms"`)
		r := accountOf(t, log).Queues[0]
		is.Equal(r.Jobs, 2)
		is.Equal(r.Late, 1)
		is.Equal(r.Refused, 1)
		is.Equal(r.Open, 1)
	})
	t.Run("waits by cause", func(t *testing.T) {
		is := is.New(t)
		log := stateLine(0, 2, 1, 0, 0, 1, 0, 0, 1000) + stateLine(190, 2, 1, 0, 0, 0, 3, 0, 1000) +
			jobLines("a", "q", 0, 300, 100, 900, 1) + jobLines("late", "q", 3000, 100, 100, 900, 1)
		r := accountOf(t, log).Queues[0]
		is.Equal(r.Waited[MovingIn], 100*time.Millisecond)
		is.Equal(r.Waited[OutsidePool], 200*time.Millisecond)
		is.Equal(r.Waited[Unknown], 100*time.Millisecond) // the last state is older than maxStateAge
	})
	t.Run("repeated run of a task", func(t *testing.T) {
		is := is.New(t)
		log := jobLines("a", "q", 0, 0, 400, 900, 1) + logLine(300, `"message":"run started","task":"a.0.0.0","pool":"p"`)
		r := accountOf(t, log).Queues[0]
		is.Equal(r.Starts, 2)
		is.Equal(r.Repeats, 1)
	})
	t.Run("malformed lines are skipped", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(accountOf(t, "text\n{broken\n{}\n").Queues), 0)
	})
}

func TestPoolRows(t *testing.T) {
	is := is.New(t)
	a := accountOf(t, stateLine(0, 4, 4, 1, 2, 0, 6, 1000, 4000)+stateLine(500, 4, 2, 0, 0, 0, 8, 1000, 2000)+stateLine(1500, 4, 2, 0, 0, 0, 8, 0, 2000))
	r := a.Pools[0]
	is.Equal(r.On, 4*0.5+2*1.0)
	is.Equal(r.Idle, 0.5)
	is.Equal(r.LongRunning, 1.0)
	is.Equal(r.Used, 0.5+1.0)
}

func TestSecondRows(t *testing.T) {
	is := is.New(t)
	log := stateLine(200, 5, 3, 0, 0, 0, 7, 0, 3000) + stateLine(700, 7, 3, 0, 0, 0, 7, 0, 3000) +
		jobLines("a", "q", 100, 0, 100, 900, 1) + jobLines("b", "q", 1200, 0, 600, 500, 1)
	a := accountOf(t, log)
	is.Equal(a.Seconds[0], SecondRow{Second: 0, Jobs: 1, Need: 6, On: 3, Off: 7})
	is.Equal(a.Seconds[1], SecondRow{Second: 1, Jobs: 1, Late: 1})
}

func TestInTimeBound(t *testing.T) {
	// Two instances of one core each are on and two are off: four cores in all.
	room := stateLine(0, 2, 2, 0, 0, 0, 2, 0, 2000)
	cases := []struct {
		name string
		log  string
		want InTimeBound
	}{
		{"enough capacity for all jobs", jobLines("a", "q", 0, 0, 900, 2000, 4) + jobLines("b", "q", 0, 0, 900, 2000, 3), InTimeBound{Jobs: 2, InTime: 2, Possible: 2}},
		{"late job that could have been in time", jobLines("a", "q", 0, 1500, 900, 2000, 4), InTimeBound{Jobs: 1, InTime: 0, Possible: 1}},
		{"more work than capacity", jobLines("a", "q", 0, 0, 900, 1100, 4) + jobLines("b", "q", 0, 0, 1900, 1200, 4), InTimeBound{Jobs: 2, InTime: 1, Possible: 1}},
		{"jobs without a target time are not counted", logLine(10, `"message":"job accepted","job":"a","queue":"q","pool":"p","took":"1ms"`), InTimeBound{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(accountOf(t, room+c.log).InTimeBound, c.want)
		})
	}
}

func TestPlotIsWellFormedXML(t *testing.T) {
	is := is.New(t)
	a := accountOf(t, stateLine(200, 25, 13, 0, 0, 0, 7, 0, 3000)+jobLines("a", "q", 100, 0, 600, 500, 1))
	var out bytes.Buffer
	a.WritePlot(&out)
	lines := 0
	for decoder := xml.NewDecoder(&out); ; {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "polyline" {
			lines++
		}
	}
	is.Equal(lines, 3) // need, on, off
}

func ExampleAccount_Write() {
	l := NewLogReader()
	_ = l.Read(strings.NewReader(stateLine(0, 1, 1, 0, 0, 0, 0, 500, 1000) + jobLines("a", "q", 100, 300, 400, 2000, 1)))
	var out bytes.Buffer
	_ = l.Account().Write(&out)
	fmt.Println(strings.Contains(out.String(), "in time: 1;"))
	// Output: true
}
