package jayrule

import (
	"errors"
	"fmt"
	"time"
)

// Action is what a rule decides: Route, Refuse, PauseWave, LimitWave, Lend or
// PlaceJob.
type Action interface {
	isAction()
}

// Route sends a request to a pool.
type Route struct {
	Pool string
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Timeout bounds the whole request; zero takes the settings' value.
	Timeout  time.Duration
	Priority Priority
	// CallerRate is the most requests a second of one caller; zero is no limit.
	CallerRate float64
}

// Refuse answers a request as not run.
type Refuse struct {
	Reason string
}

// PauseWave starts no step.
type PauseWave struct{}

// LimitWave bounds the share of a pool that is under maintenance at once.
type LimitWave struct {
	// Share is between 0 and 1.
	Share float64
}

// Lend lets a pool's instance move to a pool whose budget is at risk.
type Lend struct{}

// PlaceJob says where a job may run and whom it may displace.
type PlaceJob struct {
	DataCenters []string
	// Displace lets the job checkpoint and displace jobs of lower priority.
	Displace bool
}

func (Route) isAction()     {}
func (Refuse) isAction()    {}
func (PauseWave) isAction() {}
func (LimitWave) isAction() {}
func (Lend) isAction()      {}
func (PlaceJob) isAction()  {}

// Priority orders requests and jobs; a higher one goes first.
type Priority uint8

// The priorities, lowest first.
const (
	Low Priority = iota
	Normal
	Urgent
)

// ParsePriority reads low, normal or urgent; empty is normal.
func ParsePriority(text string) (Priority, error) {
	switch text {
	case "low":
		return Low, nil
	case "", "normal":
		return Normal, nil
	case "urgent":
		return Urgent, nil
	default:
		return Normal, fmt.Errorf("%q is none of low, normal, urgent", text)
	}
}

// String returns low, normal or urgent.
func (p Priority) String() string {
	return [...]string{"low", "normal", "urgent"}[min(p, Urgent)]
}

// Then is the written form of an action; exactly one field is set, besides
// the fields that go with route.
type Then struct {
	Route         string   `json:"route"`
	Idempotent    *bool    `json:"idempotent"`
	TimeoutMillis int      `json:"timeoutMillis"`
	Priority      string   `json:"priority"`
	CallerRate    float64  `json:"callerRate"`
	Refuse        string   `json:"refuse"`
	PauseWave     bool     `json:"pauseWave"`
	WaveShare     float64  `json:"waveShare"`
	Lend          bool     `json:"lend"`
	DataCenters   []string `json:"dataCenters"`
	Displace      *bool    `json:"displace"`
}

// ErrAction is reported for a then-part that is no action of the rule's kind.
var ErrAction = errors.New("then does not fit the rule's kind")

// Action returns the rule's action. It fails if then holds none or one of
// another kind.
func (r *Rule) Action() (Action, error) {
	switch r.About {
	case AboutRequest:
		return r.requestAction()
	case AboutWave:
		if r.Then.PauseWave {
			return PauseWave{}, nil
		}
		if r.Then.WaveShare > 0 && r.Then.WaveShare <= 1 {
			return LimitWave{Share: r.Then.WaveShare}, nil
		}
		return nil, fmt.Errorf("%w: wave takes pauseWave or a waveShare above 0 and up to 1", ErrAction)
	case AboutMove:
		if r.Then.Lend {
			return Lend{}, nil
		}
		return nil, fmt.Errorf("%w: move takes lend", ErrAction)
	case AboutJob:
		displace := r.Then.Displace != nil && *r.Then.Displace
		return PlaceJob{DataCenters: r.Then.DataCenters, Displace: displace}, nil
	default:
		return nil, fmt.Errorf("about %q is none of request, wave, move, job", r.About)
	}
}

func (r *Rule) requestAction() (Action, error) {
	t := &r.Then
	if (t.Route == "") == (t.Refuse == "") {
		return nil, fmt.Errorf("%w: request takes either route or refuse", ErrAction)
	}
	if t.Refuse != "" {
		return Refuse{Reason: t.Refuse}, nil
	}
	priority, err := ParsePriority(t.Priority)
	if err != nil {
		return nil, err
	}
	if t.TimeoutMillis < 0 || t.CallerRate < 0 {
		return nil, fmt.Errorf("%w: timeoutMillis and callerRate are not negative", ErrAction)
	}
	return Route{
		Pool:       t.Route,
		Idempotent: t.Idempotent != nil && *t.Idempotent,
		Timeout:    time.Duration(t.TimeoutMillis) * time.Millisecond,
		Priority:   priority,
		CallerRate: t.CallerRate,
	}, nil
}
