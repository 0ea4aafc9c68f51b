// Package jayrule implements the ordered when-then rules with which operators control
// requests, waves, moves and placement. The first matching rule applies.
package jayrule

import (
	"slices"
	"strings"
	"time"
)

// Kind is the kind of decision that a rule applies to.
type Kind string

// Kinds of rules. All rules are in one list; only those of the subject's kind are
// evaluated.
const (
	AboutRequest Kind = "request"
	AboutWave    Kind = "wave"
	AboutMove    Kind = "move"
	AboutJob     Kind = "job"
)

// Rule is one when-then rule.
type Rule struct {
	Name  string `json:"name"`
	About Kind   `json:"about"`
	When  When   `json:"when"`
	Then  Then   `json:"then"`
}

// When is a condition. An empty field matches everything. A pattern that ends in an
// asterisk matches every value with that prefix.
type When struct {
	Service  []string          `json:"service"`
	Method   []string          `json:"method"`
	Path     []string          `json:"path"`
	Header   map[string]string `json:"header"`
	Caller   []string          `json:"caller"`
	Priority []string          `json:"priority"`
	Pool     []string          `json:"pool"`
	Team     []string          `json:"team"`
	// PoolState is holds, tight (no slack) or broken.
	PoolState []string `json:"poolState"`
	// Hours is an interval HH:MM-HH:MM in the configuration's time zone; it may span
	// midnight.
	Hours string `json:"hours"`
}

// Subject holds the attributes that rules are matched against. Attributes that do not
// apply are empty.
type Subject struct {
	Kind      Kind
	Service   string
	Method    string
	Path      string
	Header    func(name string) string
	Caller    string
	Priority  string
	Pool      string
	Team      string
	PoolState string
	// PoolStateOf returns the state of a pool by name. A request has no pool before a rule
	// routes it, so that rules for requests use the state of the pool that they name.
	PoolStateOf func(pool string) string
	// Time is in the configuration's time zone.
	Time time.Time
}

// List is an ordered list of rules.
type List []Rule

// Trace explains why a rule did or did not match.
type Trace struct {
	Rule    string `json:"rule"`
	Matched bool   `json:"matched"`
	// Why is the name of the first condition that did not match.
	Why string `json:"why"`
}

// Decide returns the first matching rule, or false if no rule matches.
func (l List) Decide(s *Subject) (*Rule, bool) {
	for i := range l {
		if l[i].About == s.Kind && l[i].mismatch(s) == "" {
			return &l[i], true
		}
	}
	return nil, false
}

// Explain returns a trace of each rule of the subject's kind, up to the first that
// matches.
func (l List) Explain(s *Subject) []Trace {
	var traces []Trace
	for i := range l {
		if l[i].About != s.Kind {
			continue
		}
		why := l[i].mismatch(s)
		traces = append(traces, Trace{Rule: l[i].Name, Matched: why == "", Why: why})
		if why == "" {
			break
		}
	}
	return traces
}

// Shadowed returns the name of an earlier rule that matches everything that rule i
// matches, so that rule i never applies.
func (l List) Shadowed(i int) (string, bool) {
	for j := range i {
		if l[j].About == l[i].About && l[j].When.covers(&l[i].When) {
			return l[j].Name, true
		}
	}
	return "", false
}

// mismatch returns the name of the first condition that fails, or an empty string.
func (r *Rule) mismatch(s *Subject) string {
	if s.Kind != AboutRequest {
		return r.When.mismatch(s)
	}
	request := *s
	if len(r.When.PoolState) > 0 && s.PoolStateOf != nil {
		request.PoolState = s.PoolStateOf(r.namedPool())
	}
	if len(r.When.Pool) > 0 {
		request.Pool = r.When.Pool[0]
	}
	return r.When.mismatch(&request)
}

// namedPool returns the pool whose state a rule for requests refers to: the first pool in
// its condition, or else the pool that it routes to.
func (r *Rule) namedPool() string {
	if len(r.When.Pool) > 0 {
		return r.When.Pool[0]
	}
	return r.Then.Route
}

func (w *When) mismatch(s *Subject) string {
	for _, c := range w.conditions(s) {
		if len(c.allowed) > 0 && !matchesAny(c.allowed, c.value) {
			return c.name
		}
	}
	for name, want := range w.Header {
		if s.Header == nil || !matches(want, s.Header(name)) {
			return "header " + name
		}
	}
	if w.Hours != "" && !inHours(w.Hours, s.Time) {
		return "hours"
	}
	return ""
}

type condition struct {
	name    string
	allowed []string
	value   string
}

func (w *When) conditions(s *Subject) [8]condition {
	return [...]condition{
		{"service", w.Service, s.Service},
		{"method", w.Method, s.Method},
		{"path", w.Path, s.Path},
		{"caller", w.Caller, s.Caller},
		{"priority", w.Priority, s.Priority},
		{"pool", w.Pool, s.Pool},
		{"team", w.Team, s.Team},
		{"poolState", w.PoolState, s.PoolState},
	}
}

// covers reports whether w matches everything that narrow matches.
func (w *When) covers(narrow *When) bool {
	pairs := [...][2][]string{
		{w.Service, narrow.Service},
		{w.Method, narrow.Method},
		{w.Path, narrow.Path},
		{w.Caller, narrow.Caller},
		{w.Priority, narrow.Priority},
		{w.Pool, narrow.Pool},
		{w.Team, narrow.Team},
		{w.PoolState, narrow.PoolState},
	}
	for _, p := range pairs {
		if !coversTexts(p[0], p[1]) {
			return false
		}
	}
	for name, want := range w.Header {
		got, has := narrow.Header[name]
		if !has || !matches(want, got) {
			return false
		}
	}
	return w.Hours == "" || w.Hours == narrow.Hours
}

func coversTexts(wide, narrow []string) bool {
	if len(wide) == 0 {
		return true
	}
	if len(narrow) == 0 {
		return false
	}
	return !slices.ContainsFunc(narrow, func(n string) bool { return !matchesAny(wide, n) })
}

func matchesAny(patterns []string, value string) bool {
	for _, p := range patterns {
		if matches(p, value) {
			return true
		}
	}
	return false
}

func matches(pattern, value string) bool {
	if prefix, open := strings.CutSuffix(pattern, "*"); open {
		return strings.HasPrefix(value, prefix)
	}
	return pattern == value
}

// Matches reports whether a value matches a pattern: it is equal, or it has the pattern's
// prefix if the pattern ends in an asterisk.
func Matches(pattern, value string) bool {
	return matches(pattern, value)
}
