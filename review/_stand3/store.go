package main

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics, appends under conditions and
// with producers, reads that wait.
type store struct {
	mu      sync.Mutex
	parts   map[string]*partition
	changed chan struct{}
	// modes holds how the store treats an entry, by the entry's name.
	modes map[string]storeMode
}

// storeMode is how the store answers an entry.
type storeMode struct {
	silent bool
	busy   bool
	// delay is added to each answer.
	delay time.Duration
	// loseWrites makes the store carry out appends without an answer.
	loseWrites bool
}

type partition struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	busyUntil time.Time
}

type record struct {
	key   string
	value []byte
	raw   []byte
}

type producer struct {
	epoch, seq int64
	latest     []appended
}

type appended struct{ seq, offset, end int64 }

const (
	appendTime    = 4 * time.Millisecond
	newestItems   = 500
	repeatsKept   = 5
	maxQueued     = 2 * time.Second
	pageHeaderLen = 16
)

func newStore() *store {
	return &store{parts: map[string]*partition{}, changed: make(chan struct{}), modes: map[string]storeMode{}}
}

func (s *store) setMode(entry string, m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[entry] = m
}

func (s *store) part(topic, number string) *partition {
	key := topic + "/" + number
	if s.parts[key] == nil {
		s.parts[key] = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
	}
	return s.parts[key]
}

// put writes a record as the operator or a worker does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic, "0"), []record{newRecord(key, value)})
}

func newRecord(key string, value []byte) record {
	raw := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	raw = append(raw, byte(len(key)))
	raw = append(raw, key...)
	raw = append(raw, value...)
	return record{key: key, value: value, raw: raw}
}

func (s *store) add(p *partition, records []record) {
	for _, r := range records {
		p.newest[r.key] = len(p.records)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		}
		p.records = append(p.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the handler of the calls of one entry.
func (s *store) handler(entry string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		mode := s.modes[entry]
		s.mu.Unlock()
		switch {
		case mode.silent:
			silence(r)
		case mode.busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if mode.delay > 0 {
			time.Sleep(mode.delay)
		}
		switch r.URL.Path {
		case "/v1/log-append":
			s.append(w, r, body, mode)
		case "/v1/log-read":
			s.read(w, r)
		case "/v1/log-newest":
			s.newest(w, r)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// silence leaves a request without an answer until its caller has left.
func silence(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func decodeRecords(body []byte) ([]record, error) {
	var records []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, io.ErrUnexpectedEOF
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || 1+int(body[4]) > size {
			return nil, io.ErrUnexpectedEOF
		}
		key := string(body[5 : 5+int(body[4])])
		records = append(records, newRecord(key, append([]byte{}, body[5+int(body[4]):4+size]...)))
		body = body[4+size:]
	}
	return records, nil
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte, mode storeMode) {
	records, err := decodeRecords(body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	wait := time.Until(p.busyUntil)
	if wait > maxQueued {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.busyUntil = time.Now().Add(max(0, wait) + appendTime)
	s.mu.Unlock()
	time.Sleep(max(0, wait) + appendTime)
	s.mu.Lock()
	status, answer := s.carryOut(p, q.Get, records)
	s.mu.Unlock()
	if mode.loseWrites {
		silence(r)
	}
	respond(w, status, answer)
}

func (s *store) carryOut(p *partition, get func(string) string, records []record) (int, map[string]any) {
	end := int64(len(p.records))
	if asOf := get("asOf"); asOf != "" && asOf != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	if name := get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(get("seq"), 10, 64)
		known := p.producers[name]
		switch {
		case known == nil || epoch > known.epoch:
			p.producers[name] = &producer{epoch: epoch, seq: -1}
			known = p.producers[name]
		case epoch < known.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced", "epoch": known.epoch}
		}
		if len(records) == 0 {
			return http.StatusOK, map[string]any{"offset": end, "end": end}
		}
		for _, a := range known.latest {
			if a.seq == seq {
				return http.StatusOK, map[string]any{"offset": a.offset, "end": a.end}
			}
		}
		if known.seq >= 0 && seq != known.seq+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": known.seq + 1}
		}
		known.seq = seq
		known.latest = append(known.latest, appended{seq, end, end + int64(len(records))})
		known.latest = known.latest[max(0, len(known.latest)-repeatsKept):]
	}
	s.add(p, records)
	return http.StatusOK, map[string]any{"offset": end, "end": int64(len(p.records))}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKb, _ := strconv.Atoi(q.Get("maxKb"))
	until := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		changed, end := s.changed, len(p.records)
		if from < end || !time.Now().Before(until) {
			out := binary.BigEndian.AppendUint64(make([]byte, 0, pageHeaderLen), uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for n := from; n < end && len(out) < maxKb<<10; n++ {
				out = append(out, p.records[n].raw...)
			}
			s.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(out)))
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > newestItems
	items := []any{}
	for _, key := range keys[:min(len(keys), newestItems)] {
		n := p.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(p.records[n].value), "offset": n})
	}
	end := len(p.records)
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

// newestValue returns the newest value of a key in partition 0 of a topic, as the operator reads it.
func (s *store) newestValue(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	if n, ok := p.newest[key]; ok {
		return fmt.Sprint(string(p.records[n].value))
	}
	return ""
}
