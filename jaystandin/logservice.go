// Package jaystandin simulates the platform for tests, the demo and trials: a log service,
// an instance list and workers, with fault injection. It counts the requests and orders
// that arrive, so that the system's guarantees are checked against what its upstreams
// observed and not against what the system reports about itself.
package jaystandin

import (
	"errors"
	"sync"
	"time"

	"jaythread/jayplatform"
)

// Errors of the simulated log service.
var (
	errLogDown = errors.New("log service is down")
	errExpired = errors.New("offset has expired")
)

// LogFaults are the faults injected into the log service.
type LogFaults struct {
	// Down makes every append and read fail.
	Down bool `json:"down"`
	// Delay is the time added to every append and read.
	Delay time.Duration `json:"delayNanos"`
	// LoseAnswers is the number of next appends that take effect but return an error, as
	// if their responses were lost.
	LoseAnswers int `json:"loseAnswers"`
}

// LogService is an in-memory log service. It implements jayplatform.Log.
type LogService struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	// appends counts the appended records by stream.
	appends map[string]int
	now     func() time.Time
}

type stream struct {
	// first is the offset of the oldest record kept.
	first   uint64
	records []jayplatform.Record
	// appended is closed by the next append and then replaced.
	appended chan struct{}
}

// NewLogService returns an empty log service.
func NewLogService() *LogService {
	return &LogService{streams: map[string]*stream{}, appends: map[string]int{}, now: time.Now}
}

// SetFaults replaces the injected faults.
func (l *LogService) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of records appended to a stream.
func (l *LogService) Appends(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends[name]
}

// Expire drops the records of a stream before the given offset.
func (l *LogService) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for len(s.records) > 0 && s.first < before {
		s.records = s.records[1:]
		s.first++
	}
}

// Append appends a record to a stream and returns its offset.
func (l *LogService) Append(name string, record []byte) (uint64, error) {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		return 0, errors.Join(jayplatform.ErrUnavailable, errLogDown)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))
	data := append([]byte(nil), record...)
	s.records = append(s.records, jayplatform.Record{Offset: offset, UnixMillis: l.now().UnixMilli(), Data: data})
	l.appends[name]++
	close(s.appended)
	s.appended = make(chan struct{})
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, errors.Join(jayplatform.ErrUnavailable, errLogDown)
	}
	return offset, nil
}

// Read returns records of a stream starting at an offset. If there are none yet, it waits
// for the next append for at most the given time.
func (l *LogService) Read(name string, from uint64, wait time.Duration) (jayplatform.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		page, grown, err := l.readPage(name, from)
		left := time.Until(deadline)
		if err != nil || len(page.Records) > 0 || left <= 0 {
			return page, err
		}
		waitForAppend(grown, left)
	}
}

func waitForAppend(grown <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-grown:
	case <-timer.C:
	}
}

// maxPageRecords is the largest number of records in a page.
const maxPageRecords = 1000

// readPage returns the records that exist from an offset on, and a channel that is closed by
// the next append.
func (l *LogService) readPage(name string, from uint64) (jayplatform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	delay := l.faults.Delay
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return jayplatform.Page{}, nil, errors.Join(jayplatform.ErrUnavailable, errLogDown)
	}
	s := l.stream(name)
	next := s.first + uint64(len(s.records))
	page := jayplatform.Page{First: s.first, Next: next}
	if from < s.first {
		return page, nil, errors.Join(jayplatform.ErrExpired, errExpired)
	}
	if from < next {
		rest := s.records[from-s.first:]
		page.Records = append(page.Records, rest[:min(len(rest), maxPageRecords)]...)
	}
	return page, s.appended, nil
}

func (l *LogService) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}
