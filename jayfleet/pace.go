package jayfleet

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// commandRateShare is the share of the inventory's rate that an owner uses. The rest is for
	// a former owner that has not learned yet that it was replaced.
	commandRateShare = 0.9
	// commandBurst is the time for whose commands the pace saves up while none are sent.
	commandBurst = 100 * time.Millisecond
	// closeAhead is the time for whose commands idle hosts are closed in advance. A pool takes
	// about as long to confirm that it has closed a host.
	closeAhead = 300 * time.Millisecond
	// rateDecrease is the factor by which the rate falls when the inventory rejects a command
	// for its rate, rateRecovery the time in which the rate rises from zero to its maximum, and
	// minRateShare the least share of the maximum.
	rateDecrease = 0.5
	rateRecovery = 20 * time.Second
	minRateShare = 0.02
)

// commandPace limits the commands that an owner sends to the rate that the inventory serves.
//
// It handles this load: thousands of hosts become idle at once. If all their commands were sent
// at once, most of them would find no connection or be rejected for their rate, and the owner
// would do nothing but repeat them for seconds.
type commandPace struct {
	// limiter is nil if there is no limit. max is its highest number of commands per second.
	limiter *rate.Limiter
	max     float64
	// changedAt is when the limit changed last, throttledAt when it fell last.
	changedAt   time.Duration
	throttledAt time.Duration
	// inFlight is the number of commands that wait for their answer, at most maxInFlight; zero
	// is no limit.
	inFlight    int
	maxInFlight int
}

func newCommandPace(s Settings) *commandPace {
	p := &commandPace{max: commandRateShare * s.CommandRate, maxInFlight: s.CommandsInFlight}
	if p.max > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(p.max), max(1, int(p.max*commandBurst.Seconds())))
	}
	return p
}

// take reports whether a command may be sent now, and counts it if so.
func (p *commandPace) take(now time.Duration) bool {
	if p.maxInFlight > 0 && p.inFlight >= p.maxInFlight {
		return false
	}
	if p.limiter != nil {
		p.recover(now)
		if !p.limiter.AllowN(moment(now), 1) {
			return false
		}
	}
	p.inFlight++
	return true
}

// recover raises the rate towards its maximum.
func (p *commandPace) recover(now time.Duration) {
	risen := p.max * (now - p.changedAt).Seconds() / rateRecovery.Seconds()
	p.setRate(min(p.max, float64(p.limiter.Limit())+risen), now)
}

func (p *commandPace) setRate(perSecond float64, now time.Duration) {
	p.changedAt = now
	p.limiter.SetLimitAt(moment(now), rate.Limit(perSecond))
}

// answered counts the answer to a command, which the inventory may have rejected for its rate.
// The rate falls once for commands that were sent together, since they are rejected together.
func (p *commandPace) answered(rateExceeded bool, now time.Duration) {
	p.inFlight--
	if !rateExceeded || p.limiter == nil || p.throttledAt > 0 && now-p.throttledAt < commandBurst {
		return
	}
	p.throttledAt = now
	p.setRate(max(minRateShare*p.max, rateDecrease*float64(p.limiter.Limit())), now)
	p.limiter.AllowN(moment(now), int(p.limiter.TokensAt(moment(now))))
}

// closable returns how many idle hosts may be closed for their moves at a time, so that no host
// is closed for long while its command waits. limited is false if there is no limit.
func (p *commandPace) closable(now time.Duration) (hosts int, limited bool) {
	if p.limiter == nil {
		return 0, false
	}
	p.recover(now)
	return max(1, int(float64(p.limiter.Limit())*closeAhead.Seconds())), true
}

// moment returns the time of the limiter for a time of the fleet.
func moment(now time.Duration) time.Time {
	return time.Unix(0, int64(now))
}
