// Package jayoptions defines the settings of an entry instance with their defaults,
// and parses and validates them.
package jayoptions

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON parses a duration such as "2s".
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return &json.UnmarshalTypeError{Value: "string " + s, Field: "duration"}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Options holds all settings of one entry instance.
type Options struct {
	// Entry is the instance's identity. If it is empty, a new identity is generated
	// at each start.
	Entry string `json:"entry"`
	// DataCenter is the failure domain in which the instance runs.
	DataCenter string `json:"dataCenter"`
	// CallerAddr, OperatorAddr and PeerAddr are the IP:PORT addresses to listen on.
	CallerAddr   string `json:"callerAddr"`
	OperatorAddr string `json:"operatorAddr"`
	PeerAddr     string `json:"peerAddr"`
	// PeerSeeds are the peer addresses from which the state is fetched while the
	// log service is unavailable.
	PeerSeeds []string `json:"peerSeeds"`
	// PlatformURL is the base URL of the log service, the instance list and the
	// workers.
	PlatformURL string `json:"platformUrl"`
	// OperatorToken is the bearer token of the operator API. It may be empty only
	// if OperatorAddr is a loopback address.
	OperatorToken string `json:"operatorToken"`
	// PeerCertFile, PeerKeyFile and PeerAuthorityFile enable mutual TLS between
	// entries. They may be empty only if PeerAddr is a loopback address or
	// JobService.TrustedNetwork is set.
	PeerCertFile      string `json:"peerCertFile"`
	PeerKeyFile       string `json:"peerKeyFile"`
	PeerAuthorityFile string `json:"peerAuthorityFile"`
	LogLevel          string `json:"logLevel"`
	LogFormat         string `json:"logFormat"`

	// CallerHeader is the name of the header in which the load balancer identifies
	// the caller.
	CallerHeader string `json:"callerHeader"`

	EventLoops        int      `json:"eventLoops"`
	MaxRequestBytes   int      `json:"maxRequestBytes"`
	BufferBytes       int      `json:"bufferBytes"`
	MaxCallerConns    int      `json:"maxCallerConns"`
	QueuePerPool      int      `json:"queuePerPool"`
	QueueTime         Duration `json:"queueTime"`
	RequestTimeout    Duration `json:"requestTimeout"`
	CallerIdle        Duration `json:"callerIdle"`
	UpstreamIdle      Duration `json:"upstreamIdle"`
	DialTimeout       Duration `json:"dialTimeout"`
	RetryShare        float64  `json:"retryShare"`
	ClaimWindow       Duration `json:"claimWindow"`
	ClaimCopies       int      `json:"claimCopies"`
	StoredAnswerBytes int      `json:"storedAnswerBytes"`

	HeartbeatEvery  Duration `json:"heartbeatEvery"`
	PeerTimeout     Duration `json:"peerTimeout"`
	PlannerTerm     Duration `json:"plannerTerm"`
	PlanEvery       Duration `json:"planEvery"`
	SnapshotEvery   int      `json:"snapshotEvery"`
	RebootTimeout   Duration `json:"rebootTimeout"`
	SettleTime      Duration `json:"settleTime"`
	TaskLease       Duration `json:"taskLease"`
	ClaimLogTimeout Duration `json:"claimLogTimeout"`
	StopGrace       Duration `json:"stopGrace"`
	StopBound       Duration `json:"stopBound"`
	PlatformTimeout Duration `json:"platformTimeout"`

	// JobService configures job scheduling on the users' platform; it is disabled
	// by default.
	JobService JobService `json:"jobService"`
}

// New returns the default settings. All defaults are defined here and in
// newJobService.
func New() *Options {
	return &Options{
		DataCenter:   "dc1",
		CallerAddr:   "127.0.0.1:8080",
		OperatorAddr: "127.0.0.1:8081",
		PeerAddr:     "127.0.0.1:8082",
		PlatformURL:  "http://127.0.0.1:9000",
		LogLevel:     "info",
		LogFormat:    "auto",

		CallerHeader: "Jaythread-Caller",

		EventLoops:        1,
		MaxRequestBytes:   4 << 20,
		BufferBytes:       1 << 20,
		MaxCallerConns:    20_000,
		QueuePerPool:      256,
		QueueTime:         Duration(500 * time.Millisecond),
		RequestTimeout:    Duration(5 * time.Second),
		CallerIdle:        Duration(time.Minute),
		UpstreamIdle:      Duration(5 * time.Second),
		DialTimeout:       Duration(500 * time.Millisecond),
		RetryShare:        0.1,
		ClaimWindow:       Duration(10 * time.Minute),
		ClaimCopies:       3,
		StoredAnswerBytes: 64 << 10,

		HeartbeatEvery:  Duration(500 * time.Millisecond),
		PeerTimeout:     Duration(time.Second),
		PlannerTerm:     Duration(3 * time.Second),
		PlanEvery:       Duration(200 * time.Millisecond),
		SnapshotEvery:   1000,
		RebootTimeout:   Duration(10 * time.Minute),
		SettleTime:      Duration(2 * time.Second),
		TaskLease:       Duration(10 * time.Second),
		ClaimLogTimeout: Duration(300 * time.Millisecond),
		StopGrace:       Duration(2 * time.Second),
		StopBound:       Duration(30 * time.Second),
		PlatformTimeout: Duration(2 * time.Second),

		JobService: newJobService(),
	}
}
