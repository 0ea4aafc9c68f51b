package jayfleet

import "time"

const (
	// commandRateShare is the share of the inventory's rate that an owner uses. The rest is for
	// a former owner that has not learned yet that it was replaced.
	commandRateShare = 0.9
	// commandWindow is the time in which an owner sends no more commands than the inventory
	// takes in a second. It is longer than a second, since some commands wait for their record
	// before they are sent.
	commandWindow = 1200 * time.Millisecond
	// closeAhead is the time for whose commands idle hosts are closed in advance. A pool takes
	// about as long to confirm that it has closed a host.
	closeAhead = 300 * time.Millisecond
	// rateDecrease is the factor by which the rate falls when the inventory rejects a command
	// for its rate, rateRecovery the time in which the rate rises from zero to its maximum, and
	// minRateShare the least share of the maximum. The rate falls once for commands that were
	// sent within throttleTime, since they are rejected together.
	rateDecrease = 0.5
	rateRecovery = 20 * time.Second
	minRateShare = 0.02
	throttleTime = 200 * time.Millisecond
)

// commandPace limits the commands that an owner sends to the rate that the inventory serves. It
// lets a burst of that many commands through at once.
//
// It handles this load: thousands of hosts become idle at once. If all their commands were sent
// at once, most of them would find no connection or be rejected for their rate, and the owner
// would do nothing but repeat them for seconds.
type commandPace struct {
	// max is the highest number of commands per second, or zero for no limit, and rate the
	// present one.
	max, rate float64
	// changedAt is when the rate changed last, throttledAt when it fell last.
	changedAt   time.Duration
	throttledAt time.Duration
	// sent are the times of the commands sent within the last commandWindow.
	sent []time.Duration
	// inFlight is the number of commands that wait for their answer, at most maxInFlight; zero
	// is no limit.
	inFlight    int
	maxInFlight int
}

func newCommandPace(s Settings) *commandPace {
	most := commandRateShare * s.CommandRate
	return &commandPace{max: most, rate: most, maxInFlight: s.CommandsInFlight}
}

// take reports whether a command may be sent now, and counts it if so.
func (p *commandPace) take(now time.Duration) bool {
	if p.maxInFlight > 0 && p.inFlight >= p.maxInFlight {
		return false
	}
	if p.max > 0 {
		if p.left(now) == 0 {
			return false
		}
		p.sent = append(p.sent, now)
	}
	p.inFlight++
	return true
}

// left returns the number of commands that the rate allows now.
func (p *commandPace) left(now time.Duration) int {
	p.rate = min(p.max, p.rate+p.max*(now-p.changedAt).Seconds()/rateRecovery.Seconds())
	p.changedAt = now
	expired := 0
	for expired < len(p.sent) && p.sent[expired] <= now-commandWindow {
		expired++
	}
	p.sent = p.sent[expired:]
	return max(0, max(1, int(p.rate))-len(p.sent))
}

// answered counts the answer to a command, which the inventory may have rejected for its rate.
func (p *commandPace) answered(rateExceeded bool, now time.Duration) {
	p.inFlight--
	if !rateExceeded || p.max == 0 || p.throttledAt > 0 && now-p.throttledAt < throttleTime {
		return
	}
	p.left(now)
	p.throttledAt = now
	p.rate = max(minRateShare*p.max, rateDecrease*p.rate)
}

// closable returns how many idle hosts may be closed for their moves at a time, so that no host
// is closed for long while its command waits. limited is false if there is no limit.
func (p *commandPace) closable(now time.Duration) (hosts int, limited bool) {
	if p.max == 0 {
		return 0, false
	}
	left := p.left(now)
	return max(1, left, int(p.rate*closeAhead.Seconds())), true
}
