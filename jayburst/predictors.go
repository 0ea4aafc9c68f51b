package jayburst

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Prediction is a predicted burst.
type Prediction struct {
	Pool string
	// Begin is when the burst is predicted to begin, and Uncertainty by how much it may begin
	// earlier or later.
	Begin       time.Duration
	Uncertainty time.Duration
	// HeightMilli is the predicted rate of arriving work, in thousandths of a core.
	HeightMilli int64
	// Confidence is between 0 and 1.
	Confidence float64
}

// overdue returns from when on the prediction has failed unless the burst was seen.
func (p Prediction) overdue() time.Duration {
	return p.Begin + p.Uncertainty + detectionDelay
}

// Predictor predicts the begins of bursts.
type Predictor interface {
	// Began records that a burst of a pool has begun.
	Began(pool string, at time.Duration)
	// Lost records that a burst of a pool has begun at an unknown time.
	Lost(pool string)
	// Forget removes what was learned about a pool that exists no more.
	Forget(pool string)
	// Predict returns the predictions, without heights. It judges the predictions that are
	// overdue; one for a pool that is not observed is neither true nor false.
	Predict(now time.Duration, observed func(pool string) bool) []Prediction
}

// periods predicts the bursts of each pool from the time between them.
type periods struct {
	experience
	pools map[string]*period
}

// period is the rule of a pool's period. began is the latest begin, or zero if that is not
// known. skipped counts the bursts that were expected since and have not begun.
type period struct {
	rule
	began   time.Duration
	skipped int
}

// due returns when the next burst is expected.
func (r *period) due() time.Duration {
	return r.began + time.Duration(r.skipped+1)*r.interval()
}

// Periods returns a predictor by the period of each pool alone. It needs two begins of a pool
// for its first prediction.
func Periods() Predictor {
	return &periods{pools: map[string]*period{}}
}

func (p *periods) Began(pool string, at time.Duration) {
	r, known := p.pools[pool]
	if !known {
		p.pools[pool] = &period{began: at}
		return
	}
	if r.began > 0 {
		p.learnPeriod(r, at)
	}
	r.began, r.skipped = at, 0
}

// learnPeriod judges a period by a begin and adds the time since the previous one. If bursts
// were skipped in between, that time is a multiple of the period.
func (p *periods) learnPeriod(r *period, at time.Duration) {
	elapsed, cycles := at-r.began, 1
	if len(r.intervals) > 0 {
		nearest := int(math.Round(elapsed.Seconds() / r.interval().Seconds()))
		cycles = min(max(1, nearest), r.skipped+1)
		within, usable := p.uncertainty()
		if usable && cycles > r.skipped {
			p.judge(&r.rule, (at-r.due()).Abs() <= within)
		}
	}
	p.learn(&r.rule, elapsed/time.Duration(cycles))
}

func (p *periods) Lost(pool string) {
	if r, known := p.pools[pool]; known {
		r.began = 0
	}
}

func (p *periods) Forget(pool string) {
	delete(p.pools, pool)
}

func (p *periods) Predict(now time.Duration, observed func(string) bool) []Prediction {
	within, usable := p.uncertainty()
	if !usable {
		return nil
	}
	var predictions []Prediction
	for _, pool := range slices.Sorted(maps.Keys(p.pools)) {
		r := p.pools[pool]
		if len(r.intervals) == 0 || r.began == 0 {
			continue
		}
		if now > r.due()+within+detectionDelay {
			if observed(pool) {
				p.judge(&r.rule, false)
			}
			r.skipped++
		}
		predictions = append(predictions, Prediction{Pool: pool, Begin: r.due(), Uncertainty: within, Confidence: p.confidence(&r.rule)})
	}
	return predictions
}

// successions predicts the burst of the pool that usually follows the pool whose burst began
// last. The time counts from begin to begin: where one burst begins as the other one ends,
// that end is too late to move hosts ahead of the begin.
type successions struct {
	experience
	// rules holds the rules by the pool that precedes and the one that follows.
	rules map[string]map[string]*rule
	// latest is the pool whose burst began last, and at when; latest is empty if that is not
	// known. overdue says that the pool that usually follows has not followed.
	latest  string
	at      time.Duration
	overdue bool
}

// Successions returns a predictor by the order in which the pools have their bursts. It needs
// a pool to have followed another one once.
func Successions() Predictor {
	return &successions{rules: map[string]map[string]*rule{}}
}

func (s *successions) Began(pool string, at time.Duration) {
	if s.latest != "" {
		s.learnSuccessor(pool, at)
	}
	s.latest, s.at, s.overdue = pool, at, false
}

// learnSuccessor judges the rules of the latest pool by the pool that follows it.
func (s *successions) learnSuccessor(pool string, at time.Duration) {
	followers := s.rules[s.latest]
	if followers == nil {
		followers = map[string]*rule{}
		s.rules[s.latest] = followers
	}
	within, usable := s.uncertainty()
	expected, _ := s.follower(s.latest)
	for _, name := range slices.Sorted(maps.Keys(followers)) {
		r := followers[name]
		switch {
		case !usable || name == expected && s.overdue:
			// Nothing was predicted, or the prediction is judged already.
		case name == pool:
			s.judge(r, (at-s.at-r.interval()).Abs() <= within)
		default:
			s.judge(r, false)
		}
	}
	if followers[pool] == nil {
		followers[pool] = &rule{}
	}
	s.learn(followers[pool], at-s.at)
}

func (s *successions) Lost(string) {
	s.latest = ""
}

func (s *successions) Forget(pool string) {
	delete(s.rules, pool)
	for _, followers := range s.rules {
		delete(followers, pool)
	}
	if s.latest == pool {
		s.latest = ""
	}
}

// follower returns the pool that most probably follows the given one, and its rule, or nil.
func (s *successions) follower(pool string) (string, *rule) {
	best := ""
	for name, r := range s.rules[pool] {
		if best == "" {
			best = name
			continue
		}
		c, most := s.confidence(r), s.confidence(s.rules[pool][best])
		if c > most || c == most && strings.Compare(name, best) < 0 {
			best = name
		}
	}
	return best, s.rules[pool][best]
}

// maxChain is the number of bursts that are predicted one after the other. With hosts that
// take long to move, the burst after the next one must be predicted too.
const maxChain = 2

func (s *successions) Predict(now time.Duration, observed func(string) bool) []Prediction {
	within, usable := s.uncertainty()
	if !usable || s.latest == "" || s.overdue {
		return nil
	}
	var predictions []Prediction
	at, confidence, pool := s.at, 1.0, s.latest
	for range maxChain {
		next, r := s.follower(pool)
		if r == nil {
			break
		}
		at += r.interval()
		confidence *= s.confidence(r)
		predictions = append(predictions, Prediction{Pool: next, Begin: at, Uncertainty: within, Confidence: confidence})
		pool = next
	}
	if len(predictions) == 0 || now <= predictions[0].Begin+within+detectionDelay {
		return predictions
	}
	first := predictions[0].Pool
	if !observed(first) {
		s.latest = ""
		return nil
	}
	s.judge(s.rules[s.latest][first], false)
	s.overdue = true
	return nil
}
