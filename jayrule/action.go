package jayrule

import (
	"errors"
	"fmt"
	"time"
)

// Action is the decision of a rule: Route, Refuse, PauseWave, LimitWave, Lend or PlaceJob.
type Action interface {
	isAction()
}

// Route forwards a request to a pool.
type Route struct {
	Pool string
	// Idempotent marks the request as safe to run more than once.
	Idempotent bool
	// Timeout is the maximum duration of the whole request; zero means the value in the
	// settings.
	Timeout  time.Duration
	Priority Priority
	// CallerRate is the maximum number of requests per second of one caller; zero means no
	// limit.
	CallerRate float64
}

// Refuse rejects a request without running it.
type Refuse struct {
	Reason string
}

// PauseWave prevents new steps of a wave.
type PauseWave struct{}

// LimitWave limits the fraction of a pool that is under maintenance at once.
type LimitWave struct {
	// Share is the maximum fraction, greater than 0 and at most 1.
	Share float64
}

// Lend allows an instance of the pool to move to another pool whose budget is at risk.
type Lend struct{}

// PlaceJob restricts where a job may run and determines whether it may displace other
// jobs.
type PlaceJob struct {
	DataCenters []string
	// Displace allows the job to stop tasks of jobs with lower priority, which are
	// checkpointed first.
	Displace bool
}

func (Route) isAction()     {}
func (Refuse) isAction()    {}
func (PauseWave) isAction() {}
func (LimitWave) isAction() {}
func (Lend) isAction()      {}
func (PlaceJob) isAction()  {}

// Priority is the priority of a request or job; higher ones come first.
type Priority uint8

// Priorities in ascending order.
const (
	Low Priority = iota
	Normal
	Urgent
)

// ParsePriority parses low, normal or urgent; the empty string means normal.
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

// String returns the name of the priority: low, normal or urgent.
func (p Priority) String() string {
	return [...]string{"low", "normal", "urgent"}[min(p, Urgent)]
}

// Then is the encoded form of an action. One action of the rule's kind must be set, except
// that a job's placement may be empty; idempotent, timeoutMillis, priority and callerRate
// belong to route, dataCenters and displace to a job's placement.
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

// ErrAction reports a then part that is not a valid action for the rule's kind.
var ErrAction = errors.New("then does not fit the rule's kind")

// Action returns the rule's action. It fails if the then part has no action or one of
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
