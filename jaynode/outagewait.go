package jaynode

import (
	"time"

	"jaythread/jayspec"
)

const (
	// outageWaitShare is the share of a caller's deadline, in percent, that a job may
	// wait for a store that accepts no jobs. The rest leaves the caller time to retry
	// after a rejection.
	outageWaitShare = 45
	// maxOutageForWait is the duration of an outage after which jobs are rejected at
	// once: a longer outage rarely ends within the time that a job can wait.
	maxOutageForWait = 5 * time.Second
	// minRetryAfter and maxRetryAfter limit the delay after which callers are asked to
	// retry while the store accepts no jobs.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// outageWaitOf returns how long a job may wait for a store that accepts no jobs: as long
// as it can still be done in time, according to the estimates of its steps.
//
// Callers retry a few times and then give up. When many jobs arrive during an outage of
// some seconds, a job that is rejected at once is lost, although it could have been
// stored and done in time after the outage.
func outageWaitOf(job *jayspec.Job, deadline time.Duration) time.Duration {
	chain := job.LongestChain(func(n int) time.Duration { return job.Steps[n].Estimate })
	slack := time.Duration((job.Policy.Stretch-1)*float64(chain)) + job.Policy.Objective
	return max(0, min(slack, deadline*outageWaitShare/100))
}

// remainingWait returns how long a job may still wait in an outage that has lasted for a
// given time.
func remainingWait(outage, outageWait time.Duration) time.Duration {
	if outage > maxOutageForWait {
		return 0
	}
	return outageWait
}

// retryAfter returns the delay after which a caller is asked to retry: an outage is
// expected to last about as long again as it already has.
func retryAfter(outage time.Duration) time.Duration {
	return min(max(minRetryAfter, outage), maxRetryAfter)
}
