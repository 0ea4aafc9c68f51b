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

// ParseFile reads settings from a file, applies them over the defaults and
// validates the result.
func ParseFile(path string) (*Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").Wrapf(err, "read settings")
	}
	return Parse(path, text)
}

// Parse reads settings, applies them over the defaults and validates the result. An
// error in the settings is of type jaydocument.Problems and gives the position of
// each problem.
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

// LooksLikeSettings reports whether a document has a settings field at its top
// level. It distinguishes settings from a fleet configuration.
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
	checkOneOf(d, "/logLevel", o.LogLevel, "debug", "info", "error")
	checkOneOf(d, "/logFormat", o.LogFormat, "auto", "json", "text")
	if o.PlatformURL == "" {
		d.Add("/platformUrl", "is needed: the base URL of the platform")
	}
}

func (o *Options) checkAddresses(d *jaydocument.Document) {
	checkAddress(d, "/callerAddr", o.CallerAddr)
	operatorExposed := checkAddress(d, "/operatorAddr", o.OperatorAddr)
	if operatorExposed && o.OperatorToken == "" {
		d.Add("/operatorAddr", "off loopback the operator API needs operatorToken")
	}
	peerExposed := checkAddress(d, "/peerAddr", o.PeerAddr)
	if peerExposed && o.PeerCertFile == "" && !o.JobService.TrustedNetwork {
		d.Add("/peerAddr", "off loopback the peer link needs peerCertFile, peerKeyFile and peerAuthorityFile")
	}
	for n, seed := range o.PeerSeeds {
		checkAddress(d, fmt.Sprintf("/peerSeeds/%d", n), seed)
	}
	keys := o.PeerCertFile != "" && o.PeerKeyFile != "" && o.PeerAuthorityFile != ""
	noKeys := o.PeerCertFile == "" && o.PeerKeyFile == "" && o.PeerAuthorityFile == ""
	if !keys && !noKeys {
		d.Add("/peerCertFile", "peerCertFile, peerKeyFile and peerAuthorityFile go together")
	}
}

func (o *Options) checkRanges(d *jaydocument.Document) {
	checkCount(d, "/eventLoops", o.EventLoops, 1, 64)
	checkCount(d, "/maxRequestBytes", o.MaxRequestBytes, 1024, 64<<20)
	checkCount(d, "/bufferBytes", o.BufferBytes, 4096, 64<<20)
	checkCount(d, "/maxCallerConns", o.MaxCallerConns, 1, 1_000_000)
	checkCount(d, "/queuePerPool", o.QueuePerPool, 1, 100_000)
	checkCount(d, "/claimCopies", o.ClaimCopies, 1, 7)
	checkCount(d, "/storedAnswerBytes", o.StoredAnswerBytes, 0, 1<<20)
	checkCount(d, "/snapshotEvery", o.SnapshotEvery, 10, 1_000_000)
	if o.RetryShare < 0 || o.RetryShare > 1 {
		d.Add("/retryShare", "%v is outside 0 to 1", o.RetryShare)
	}
	checkDuration(d, "/queueTime", o.QueueTime, time.Millisecond, time.Minute)
	checkDuration(d, "/requestTimeout", o.RequestTimeout, 10*time.Millisecond, 10*time.Minute)
	checkDuration(d, "/callerIdle", o.CallerIdle, time.Second, time.Hour)
	checkDuration(d, "/upstreamIdle", o.UpstreamIdle, 100*time.Millisecond, 10*time.Minute)
	checkDuration(d, "/dialTimeout", o.DialTimeout, time.Millisecond, time.Minute)
	checkDuration(d, "/claimWindow", o.ClaimWindow, time.Second, 24*time.Hour)
	checkDuration(d, "/claimLogTimeout", o.ClaimLogTimeout, 10*time.Millisecond, time.Minute)
	checkDuration(d, "/heartbeatEvery", o.HeartbeatEvery, 10*time.Millisecond, time.Second)
	checkDuration(d, "/peerTimeout", o.PeerTimeout, 50*time.Millisecond, 10*time.Second)
	checkDuration(d, "/plannerTerm", o.PlannerTerm, 500*time.Millisecond, time.Minute)
	checkDuration(d, "/planEvery", o.PlanEvery, 10*time.Millisecond, time.Minute)
	checkDuration(d, "/rebootTimeout", o.RebootTimeout, time.Second, 24*time.Hour)
	checkDuration(d, "/settleTime", o.SettleTime, 0, time.Hour)
	checkDuration(d, "/taskLease", o.TaskLease, 100*time.Millisecond, time.Hour)
	checkDuration(d, "/stopGrace", o.StopGrace, 0, time.Minute)
	checkDuration(d, "/stopBound", o.StopBound, time.Second, time.Hour)
	checkDuration(d, "/platformTimeout", o.PlatformTimeout, 50*time.Millisecond, time.Minute)
}

// checkAddress checks that a value has the form IP:PORT and reports whether it is
// reachable off loopback.
func checkAddress(d *jaydocument.Document, pointer, value string) bool {
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

func checkCount(d *jaydocument.Document, pointer string, value, low, high int) {
	if value < low || value > high {
		d.Add(pointer, "%d is outside %d to %d", value, low, high)
	}
}

func checkDuration(d *jaydocument.Document, pointer string, value Duration, low, high time.Duration) {
	got := time.Duration(value)
	if got < low || got > high {
		d.Add(pointer, "%s is outside %s to %s", got, low, high)
	}
}

func checkOneOf(d *jaydocument.Document, pointer, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	d.Add(pointer, "%q is none of %v", value, allowed)
}
