package jayoptions

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"time"

	"github.com/samber/oops"
	"github.com/tailscale/hujson"

	"jaythread/jaydocument"
)

// ParseFile reads settings from a file over the defaults and checks them.
func ParseFile(path string) (*Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").Wrapf(err, "read settings")
	}
	return Parse(path, text)
}

// Parse reads settings over the defaults and checks them. An error is of type
// jaydocument.Problems and names each place.
func Parse(file string, text []byte) (*Options, error) {
	o := New()
	d, err := jaydocument.Decode(file, text, o)
	if err != nil {
		return nil, err
	}
	o.check(d)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return o, nil
}

// LooksLikeSettings reports whether a text has a field of the settings at its
// top, so that a checker can tell it from a fleet configuration.
func LooksLikeSettings(text []byte) bool {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(plain, &fields) != nil {
		return false
	}
	t := reflect.TypeFor[Options]()
	for n := range t.NumField() {
		if _, has := fields[t.Field(n).Tag.Get("json")]; has {
			return true
		}
	}
	return false
}

func (o *Options) check(d *jaydocument.Document) {
	o.checkAddresses(d)
	o.checkRanges(d)
	o.JobService.check(d)
	oneOf(d, "/logLevel", o.LogLevel, "debug", "info", "error")
	oneOf(d, "/logFormat", o.LogFormat, "auto", "json", "text")
	if o.PlatformURL == "" {
		d.Add("/platformUrl", "is needed: the base URL of the platform")
	}
}

func (o *Options) checkAddresses(d *jaydocument.Document) {
	address(d, "/callerAddr", o.CallerAddr)
	operatorOpen := address(d, "/operatorAddr", o.OperatorAddr)
	if operatorOpen && o.OperatorToken == "" {
		d.Add("/operatorAddr", "off loopback the operator API needs operatorToken")
	}
	peerOpen := address(d, "/peerAddr", o.PeerAddr)
	if peerOpen && o.PeerCertFile == "" && !o.JobService.TrustedNetwork {
		d.Add("/peerAddr", "off loopback the peer link needs peerCertFile, peerKeyFile and peerAuthorityFile")
	}
	for n, seed := range o.PeerSeeds {
		address(d, fmt.Sprintf("/peerSeeds/%d", n), seed)
	}
	keys := o.PeerCertFile != "" && o.PeerKeyFile != "" && o.PeerAuthorityFile != ""
	noKeys := o.PeerCertFile == "" && o.PeerKeyFile == "" && o.PeerAuthorityFile == ""
	if !keys && !noKeys {
		d.Add("/peerCertFile", "peerCertFile, peerKeyFile and peerAuthorityFile go together")
	}
}

func (o *Options) checkRanges(d *jaydocument.Document) {
	count(d, "/eventLoops", o.EventLoops, 1, 64)
	count(d, "/maxRequestBytes", o.MaxRequestBytes, 1024, 64<<20)
	count(d, "/bufferBytes", o.BufferBytes, 4096, 64<<20)
	count(d, "/maxCallerConns", o.MaxCallerConns, 1, 1_000_000)
	count(d, "/queuePerPool", o.QueuePerPool, 1, 100_000)
	count(d, "/claimCopies", o.ClaimCopies, 1, 7)
	count(d, "/storedAnswerBytes", o.StoredAnswerSize, 0, 1<<20)
	count(d, "/snapshotEvery", o.SnapshotEvery, 10, 1_000_000)
	if o.RetryShare < 0 || o.RetryShare > 1 {
		d.Add("/retryShare", "%v is outside 0 to 1", o.RetryShare)
	}
	span(d, "/queueTime", o.QueueTime, time.Millisecond, time.Minute)
	span(d, "/requestTimeout", o.RequestTimeout, 10*time.Millisecond, 10*time.Minute)
	span(d, "/callerIdle", o.CallerIdle, time.Second, time.Hour)
	span(d, "/upstreamIdle", o.UpstreamIdle, 100*time.Millisecond, 10*time.Minute)
	span(d, "/dialTimeout", o.DialTimeout, time.Millisecond, time.Minute)
	span(d, "/claimWindow", o.ClaimWindow, time.Second, 24*time.Hour)
	span(d, "/claimLogTimeout", o.ClaimLogTimeout, 10*time.Millisecond, time.Minute)
	span(d, "/heartbeatEvery", o.HeartbeatEvery, 10*time.Millisecond, time.Second)
	span(d, "/peerTimeout", o.PeerTimeout, 50*time.Millisecond, 10*time.Second)
	span(d, "/plannerTerm", o.PlannerTerm, 500*time.Millisecond, time.Minute)
	span(d, "/planEvery", o.PlanEvery, 10*time.Millisecond, time.Minute)
	span(d, "/rebootTimeout", o.RebootTimeout, time.Second, 24*time.Hour)
	span(d, "/settleTime", o.SettleTime, 0, time.Hour)
	span(d, "/taskLease", o.TaskLease, 100*time.Millisecond, time.Hour)
	span(d, "/stopGrace", o.StopGrace, 0, time.Minute)
	span(d, "/stopBound", o.StopBound, time.Second, time.Hour)
	span(d, "/platformTimeout", o.PlatformTimeout, 50*time.Millisecond, time.Minute)
}

// address checks IP:PORT and returns true if it is reachable off loopback.
func address(d *jaydocument.Document, pointer, value string) bool {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		d.Add(pointer, "%q is not IP:PORT", value)
		return false
	}
	ip := net.ParseIP(host)
	if ip == nil {
		d.Add(pointer, "%q does not start with an IP number", value)
		return false
	}
	return !ip.IsLoopback()
}

func count(d *jaydocument.Document, pointer string, value, low, high int) {
	if value < low || value > high {
		d.Add(pointer, "%d is outside %d to %d", value, low, high)
	}
}

func span(d *jaydocument.Document, pointer string, value Duration, low, high time.Duration) {
	got := time.Duration(value)
	if got < low || got > high {
		d.Add(pointer, "%s is outside %s to %s", got, low, high)
	}
}

func oneOf(d *jaydocument.Document, pointer, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	d.Add(pointer, "%q is none of %v", value, allowed)
}
