package jayplatform_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayplatform"
	"jaythread/jaystandin"
)

// newPlatform serves a stand-in of the platform on loopback and returns it with a
// client.
func newPlatform(t *testing.T) (*jaystandin.Platform, *jayplatform.Client) {
	t.Helper()
	p := &jaystandin.Platform{Log: jaystandin.NewLogService(), Fleet: jaystandin.NewFleet(0, time.Hour)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		p.Fleet.Close()
	})
	return p, jayplatform.NewClient("http://"+listener.Addr().String(), 5*time.Second)
}

func TestLogClient(t *testing.T) {
	is := is.New(t)
	p, c := newPlatform(t)
	for n, text := range []string{"a", "b", "c"} {
		offset, err := c.Append("s", []byte(text))
		is.NoErr(err)
		is.Equal(offset, uint64(n))
	}
	page, err := c.Read("s", 1, 0)
	is.NoErr(err)
	is.Equal(page.Next, uint64(3))
	is.Equal(string(page.Records[0].Data), "b")
	p.Log.Expire("s", 2)
	page, err = c.Read("s", 0, 0)
	is.True(errors.Is(err, jayplatform.ErrExpired))
	is.Equal(page.First, uint64(2)) // the error response contains the oldest offset
	p.Log.SetFaults(jaystandin.LogFaults{Down: true})
	_, err = c.Append("s", []byte("d"))
	is.True(errors.Is(err, jayplatform.ErrUnavailable))
}

func TestWorkersClient(t *testing.T) {
	is := is.New(t)
	p, c := newPlatform(t)
	_, err := p.Fleet.AddWorker(jayplatform.Instance{ID: "seats-1"}, "seats", 8, time.Millisecond)
	is.NoErr(err)
	first, err := c.Since(0, 0)
	is.NoErr(err)
	is.Equal(first.Instances[0].State, jayplatform.Live)
	is.NoErr(c.Do("seats-1", 7, jayplatform.Drain{}))
	next, err := c.Since(first.Version, time.Second)
	is.NoErr(err)
	is.Equal(next.Instances[0].State, jayplatform.Leaving)
	is.NoErr(c.Do("seats-1", 7, jayplatform.Drain{})) // repeating an order is allowed
	err = c.Do("seats-1", 6, jayplatform.Drain{})
	is.True(errors.Is(err, jayplatform.ErrRefused)) // the fence is lower than the last one
	is.NoErr(c.Do("seats-1", 8, jayplatform.StartTask{Job: "index", Replica: 2}))
	is.True(errors.Is(c.Do("nowhere", 1, jayplatform.Drain{}), jayplatform.ErrRefused))
}

func TestUnreachablePlatform(t *testing.T) {
	c := jayplatform.NewClient("http://127.0.0.1:1", time.Second)
	_, err := c.Append("s", nil)
	is.New(t).True(errors.Is(err, jayplatform.ErrUnavailable))
}
