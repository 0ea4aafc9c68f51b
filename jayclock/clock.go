// Package jayclock provides the clock by which leases are measured.
package jayclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since a fixed moment.
type Clock func() time.Duration

// Boot returns the time since the machine booted, including the time for which it
// was suspended. Go's monotonic clock does not advance while a machine is
// suspended: a lease measured with it would appear valid on resume, although
// another owner has taken over.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every supported kernel provides this clock.
		panic("read the boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Processor returns the processor time that this process has used.
func Processor() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		// Every supported kernel provides this clock.
		panic("read the processor time: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// Since returns a clock that counts from start by Go's own clock, for tests that
// run with a fake clock.
func Since(start time.Time) Clock {
	return func() time.Duration { return time.Since(start) }
}

// Sleep waits for a duration, or until the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
