package jaynode

import (
	"errors"
	"maps"
	"slices"
	"sync"

	"jaythread/jayhome"
	"jaythread/jayowner"
	"jaythread/jayspec"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// holdings are the answers of other pools about jobs.
type holdings struct {
	// asked are the pools that were asked about each job.
	asked map[string][]string
	// held is what each pool that has answered has of each job.
	held map[string]map[string]*jaywire.Holding
}

// answers returns the answers about a job.
func (h *holdings) answers(job string) []jayhome.Answer {
	var answers []jayhome.Answer
	for _, pool := range h.asked[job] {
		held, answered := h.held[pool]
		answers = append(answers, jayhome.Answer{Pool: pool, Answered: answered, Holding: decodeHolding(held[job])})
	}
	return answers
}

// unanswered returns the pools whose owners have not answered, sorted.
func (h *holdings) unanswered() []string {
	pools := map[string]bool{}
	for _, asked := range h.asked {
		for _, pool := range asked {
			if _, answered := h.held[pool]; !answered {
				pools[pool] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(pools))
}

func encodeHolding(h jayhome.Holding) jaywire.HoldingState {
	return jaywire.HoldingState(h)
}

// decodeHolding decodes what a pool has of a job, which is nil if it has nothing. A state of a later version
// is unclear.
func decodeHolding(holding *jaywire.Holding) jayhome.Holding {
	switch {
	case holding == nil:
		return jayhome.None
	case holding.State <= 0 || holding.State > jaywire.HoldingState_HOLDING_STATE_SETTLED:
		return jayhome.Unclear
	default:
		return jayhome.Holding(holding.State)
	}
}

// errClaimsOutdated is returned while it is not known who owns the other pools.
var errClaimsOutdated = errors.New("the claims read are not the newest")

// askOtherPools asks the owners of all other pools that may have some jobs, by the newest claims. A pool
// that was never claimed has begun no job, and its first owner asks before it does.
func (n *Node) askOtherPools(pool string, jobs []*jayspec.Job) (*holdings, error) {
	view, confirmed := n.members.Owners.Confirmed()
	if !confirmed {
		return nil, errClaimsOutdated
	}
	h := n.newHoldings(pool, jobs)
	h.ask(n, pool, jobs, func(other string) (jayowner.Claim, bool) { return view.Claim(jayowner.PoolDuty(other)) })
	return h, nil
}

// newHoldings returns holdings without answers.
func (n *Node) newHoldings(pool string, jobs []*jayspec.Job) *holdings {
	h := &holdings{asked: map[string][]string{}, held: map[string]map[string]*jaywire.Holding{}}
	for _, job := range jobs {
		h.asked[job.ID] = n.homes.Others(job.Address, pool)
	}
	return h
}

// ask asks each pool's owner about its jobs, all at the same time.
func (h *holdings) ask(n *Node, pool string, jobs []*jayspec.Job, ownerOf func(pool string) (jayowner.Claim, bool)) {
	requests := map[string]*jaywire.AskHoldings{}
	for _, job := range jobs {
		for _, other := range h.asked[job.ID] {
			if requests[other] == nil {
				requests[other] = &jaywire.AskHoldings{Pool: other, Asker: pool}
			}
			requests[other].Jobs = append(requests[other].Jobs, &jaywire.AskedJob{Job: job.ID, Organisation: job.Organisation, Address: job.Address})
		}
	}
	var mu sync.Mutex
	var answers sync.WaitGroup
	for other, request := range requests {
		c, claimed := ownerOf(other)
		if !claimed {
			mu.Lock()
			h.held[other] = nil
			mu.Unlock()
			continue
		}
		answers.Go(func() {
			response, err := n.askIncarnation(c, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_AskHoldings{AskHoldings: request}})
			if err != nil || !response.GetHoldings().GetOwned() {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			h.held[other] = map[string]*jaywire.Holding{}
			for _, holding := range response.GetHoldings().Jobs {
				h.held[other][holding.Job] = holding
			}
		})
	}
	answers.Wait()
}

// holdingsOwned answers which of some jobs a pool has, if this entry owns the pool.
func (n *Node) holdingsOwned(ask *jaywire.AskHoldings) *jaywire.Holdings {
	duty := n.ownedPool(ask.Pool)
	if duty == nil || !duty.loaded.Load() {
		return &jaywire.Holdings{}
	}
	// From here on the duty disputes jobs of these queues.
	for _, job := range ask.Jobs {
		n.homes.Learn(job.Address, ask.Asker)
	}
	answer := &jaywire.Holdings{}
	asked := duty.ask(func() {
		now := n.clock()
		answer.Owned = !duty.pool.OwnerUnconfirmed()
		for _, job := range ask.Jobs {
			held, organisation := duty.pool.HoldingOf(job.Job, job.Organisation, now)
			if held == jayhome.None {
				continue
			}
			if held == jayhome.Disputed && jayhome.GoesFirst(ask.Asker, ask.Pool) {
				duty.pool.Concede(job.Job, now)
			}
			answer.Jobs = append(answer.Jobs, &jaywire.Holding{Job: job.Job, State: encodeHolding(held), Organisation: organisation, Canceled: duty.pool.CanceledBefore(job.Job, job.Organisation)})
		}
	}, askTimeout)
	if !asked {
		return &jaywire.Holdings{}
	}
	return answer
}

// storedElsewhere asks the owners of the other pools that may have a job. It returns what one of them has of the
// job, or nil; clear is false if some pool has not answered and none has the job.
func (n *Node) storedElsewhere(job *jayspec.Job) (holding *jaywire.Holding, clear bool) {
	h := n.newHoldings(job.Pool, []*jayspec.Job{job})
	if len(h.asked[job.ID]) == 0 {
		return nil, true
	}
	h.ask(n, job.Pool, []*jayspec.Job{job}, func(other string) (jayowner.Claim, bool) {
		return n.members.Owners.OwnerOf(jayowner.PoolDuty(other))
	})
	clear = true
	for _, other := range h.asked[job.ID] {
		held, answered := h.held[other]
		if holding, has := held[job.ID]; has {
			return holding, true
		}
		clear = clear && answered
	}
	return nil, clear
}

// mayBeElsewhere turns the refusal of a job that another pool may have into an error that leaves open whether
// it runs.
func mayBeElsewhere(err error) error {
	var refused *jayverdict.Error
	if !errors.As(err, &refused) || refused.Verdict != jayverdict.NotRun {
		return err
	}
	return jayverdict.NewMayHaveRun(statusTimeout, "a former pool of the queue, which may have the job, does not answer", err)
}
