package jayentry

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"jaythread/jayaddress"
	"jaythread/jayoptions"
	"jaythread/jayplatform"
)

// silentPlatform answers no call until the test ends.
type silentPlatform struct {
	Platform
	release chan struct{}
}

// Append waits until the test ends.
func (p *silentPlatform) Append(string, []byte) (uint64, error) {
	<-p.release
	return 0, jayplatform.ErrUnavailable
}

// Read waits until the test ends.
func (p *silentPlatform) Read(string, uint64, time.Duration) (jayplatform.Page, error) {
	<-p.release
	return jayplatform.Page{}, jayplatform.ErrUnavailable
}

// Since waits until the test ends.
func (p *silentPlatform) Since(uint64, time.Duration) (jayplatform.Changes, error) {
	<-p.release
	return jayplatform.Changes{}, jayplatform.ErrUnavailable
}

// TestStopWithoutAPlatform guards against a process that is killed, since its stop waits for calls
// to a platform that does not answer, and for an operator who has sent half a request.
func TestStopWithoutAPlatform(t *testing.T) {
	is := is.New(t)
	o := jayoptions.New()
	o.StopGrace, o.StopBound = 0, jayoptions.Duration(2*time.Second)
	for _, addr := range []*string{&o.CallerAddr, &o.OperatorAddr, &o.PeerAddr} {
		var err error
		*addr, err = jayaddress.Free()
		is.NoErr(err)
	}
	platform := &silentPlatform{release: make(chan struct{})}
	t.Cleanup(func() { close(platform.release) })
	e, err := New(o, platform, logr.Discard())
	is.NoErr(err)
	is.NoErr(e.Start(t.Context()))
	operator, err := net.Dial("tcp", o.OperatorAddr)
	is.NoErr(err)
	_, err = operator.Write([]byte("GET /v1/status HTTP/1.1\r\n"))
	is.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop() }()
	select {
	case err := <-stopped:
		is.NoErr(err)
	case <-time.After(time.Duration(o.StopBound)):
		t.Error("Stop exceeds stopBound")
	}
}
