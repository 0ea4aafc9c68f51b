package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"jaythread/platform/jaystub"
)

const (
	// recordBytes is the size of the largest record that the store takes, as in the settings on the
	// page DEPLOY.md.
	recordBytes = 262_144
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

// storeServer is the platform's store. Each entry has an address of its own for it, so that the store
// knows who calls.
type storeServer struct {
	*jaystub.Store
	record *record

	mu sync.Mutex
	// tooLarge counts the refused appends with a record beyond recordBytes.
	tooLarge int
}

func newStoreServer(r *record) *storeServer {
	s := &storeServer{Store: jaystub.NewStore(func() float64 { return 1 }), record: r}
	s.SetFaults(jaystub.Faults{AppendTime: answerTime})
	return s
}

// serve returns an address at which the store answers one entry.
func (s *storeServer) serve(entry string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { s.handle(entry, ctx) }, NoDefaultServerHeader: true, MaxRequestBodySize: 8 << 20}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *storeServer) handle(entry string, ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/log-append" {
		if size := largestRecord(ctx.PostBody()); size > recordBytes {
			s.mu.Lock()
			s.tooLarge++
			n := s.tooLarge
			s.mu.Unlock()
			if n <= 5 || n%50 == 0 {
				s.record.add("store: refuses append number %d with a record of %d bytes from %s, topic %s", n, size, entry, ctx.QueryArgs().Peek("topic"))
			}
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			ctx.SetBodyString(fmt.Sprintf("a record has %d bytes, more than %d", size, recordBytes))
			return
		}
	}
	s.Store.Handle(ctx)
	if !ctx.IsPost() {
		time.Sleep(answerTime) // appends have taken it already
	}
}

// refused returns the number of appends that were refused for a record that is too large.
func (s *storeServer) refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}

// largestRecord returns the size of the largest record of an append, without its length.
func largestRecord(body []byte) int {
	largest := 0
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		largest = max(largest, size)
		if size > len(body)-4 {
			break
		}
		body = body[4+size:]
	}
	return largest
}
