package jayhome_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayhome"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayspec"
)

const (
	address = "a.example/seats/"
	jobID   = "5c0e7a21d94b36f8"
)

func ExampleRegister_Others() {
	r := jayhome.NewRegister()
	r.Assign(address, "seats")
	fmt.Println(r.Others(address, "seats"))
	r.Assign(address, "fees")
	fmt.Println(r.Others(address, "fees"))
	// Output:
	// []
	// [seats]
}

func TestRegister(t *testing.T) {
	apply := func(t *testing.T, r *jayhome.Register, pool string, addresses ...string) {
		t.Helper()
		is.New(t).NoErr(r.Apply(jayhome.Record(pool, addresses)))
	}
	t.Run("a pool counts until its owner has recorded that it has no jobs of the queue", func(t *testing.T) {
		is := is.New(t)
		r := jayhome.NewRegister()
		apply(t, r, "seats", address)
		r.Assign(address, "fees")
		is.Equal(r.Others(address, "fees"), []string{"seats"})
		apply(t, r, "seats")
		is.Equal(len(r.Others(address, "fees")), 0)
	})
	t.Run("what another owner has said counts", func(t *testing.T) {
		is := is.New(t)
		r := jayhome.NewRegister()
		r.Assign(address, "seats")
		r.Learn(address, "fees")
		is.Equal(r.Others(address, "seats"), []string{"fees"})
	})
	t.Run("the queue's new pool counts for the owner of the former one", func(t *testing.T) {
		is := is.New(t)
		r := jayhome.NewRegister()
		r.Assign(address, "seats")
		apply(t, r, "seats", address)
		r.Assign(address, "fees")
		is.Equal(r.Others(address, "seats"), []string{"fees"})
	})
	t.Run("pools with recorded queues", func(t *testing.T) {
		is := is.New(t)
		r := jayhome.NewRegister()
		apply(t, r, "seats", address)
		apply(t, r, "fees")
		is.Equal(r.Pools(), []string{"seats"})
	})
	t.Run("a record that cannot be decoded changes nothing", func(t *testing.T) {
		is := is.New(t)
		r := jayhome.NewRegister()
		apply(t, r, "seats", address)
		is.True(r.Apply(jayport.Record{Key: jayhome.Record("seats", nil).Key, Value: []byte{0xff}}) != nil)
		is.Equal(r.Pools(), []string{"seats"})
	})
}

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		answers []jayhome.Answer
		want    jayhome.Verdict
	}{
		"no other pool":                      {want: jayhome.Keep},
		"no pool has it":                     {[]jayhome.Answer{{"a", true, jayhome.None}}, jayhome.Keep},
		"a pool has it":                      {[]jayhome.Answer{{"a", false, jayhome.None}, {"z", true, jayhome.Settled}}, jayhome.Yield},
		"a pool has not answered":            {[]jayhome.Answer{{"a", false, jayhome.None}}, jayhome.Wait},
		"a pool may have begun it":           {[]jayhome.Answer{{"z", true, jayhome.Unclear}}, jayhome.Wait},
		"a pool that goes first disputes it": {[]jayhome.Answer{{"a", true, jayhome.Disputed}}, jayhome.Wait},
		"a pool that goes later disputes it": {[]jayhome.Answer{{"z", true, jayhome.Disputed}}, jayhome.Keep},
	} {
		t.Run(name, func(t *testing.T) {
			verdict, _ := jayhome.Decide("m", c.answers)
			is.New(t).Equal(verdict, c.want)
		})
	}
}

// party is the owner of a pool in the model.
type party struct {
	name     string
	pool     *jaysched.Pool
	register *jayhome.Register
	begun    bool
}

// model plays pools that receive the same job while the queue moves from one to the next. Messages take
// random times, and owners learn of configurations late or never.
type model struct {
	random  *rand.Rand
	now     time.Duration
	events  map[time.Duration][]func()
	parties []*party
	// records are those that the owners have appended.
	records []jayport.Record
}

// after runs a function at a random time.
func (m *model) after(most time.Duration, do func()) {
	at := m.now + time.Duration(1+m.random.Int64N(int64(most/time.Millisecond)))*time.Millisecond
	m.events[at] = append(m.events[at], do)
}

// receive declares the job in a pool.
func (m *model) receive(p *party) {
	p.pool.Declare(&jayspec.Job{
		ID: jobID, Address: address, Pool: p.name,
		Steps: []jayspec.Step{{Tasks: 1, Need: jaypool.Resources{ProcessorsMilli: 1}, Estimate: time.Second}},
	}, m.now)
	if len(p.register.Others(address, p.name)) > 0 && p.pool.Dispute(jobID, m.now) {
		m.round(p)
		return
	}
	_, p.begun = p.pool.StateOf(jobID)
}

// round asks the owners of all other pools once.
func (m *model) round(p *party) {
	m.records = append(m.records, jayhome.Record(p.name, []string{address}))
	for _, r := range m.records {
		_ = p.register.Apply(r)
	}
	asked, others := m.now, p.register.Others(address, p.name)
	answers, missing := make([]jayhome.Answer, len(others)), len(others)
	for n, other := range others {
		m.after(40*time.Millisecond, func() {
			answers[n] = m.answer(other, p.name)
			m.after(40*time.Millisecond, func() {
				if missing--; missing == 0 {
					m.conclude(p, answers, asked)
				}
			})
		})
	}
}

// answer is what the owner of a pool answers another one; some answers are lost.
func (m *model) answer(pool, asker string) jayhome.Answer {
	at := slices.IndexFunc(m.parties, func(p *party) bool { return p.name == pool })
	p := m.parties[at]
	p.register.Learn(address, asker)
	held, _ := p.pool.HoldingOf(jobID, "", m.now)
	if held == jayhome.Disputed && jayhome.GoesFirst(asker, pool) {
		p.pool.Concede(jobID, m.now)
	}
	return jayhome.Answer{Pool: pool, Answered: m.random.IntN(5) > 0, Holding: held}
}

func (m *model) conclude(p *party, answers []jayhome.Answer, asked time.Duration) {
	switch verdict, _ := jayhome.Decide(p.name, answers); {
	case verdict == jayhome.Yield && p.pool.Withdraw(jobID, m.now):
	case verdict == jayhome.Keep && p.pool.Settle(jobID, asked, m.now):
		p.begun = true
	default:
		m.after(20*time.Millisecond, func() { m.round(p) })
	}
}

// TestOnePoolBeginsAJobThatSeveralReceive guards against two pools that begin the same job, and against a job
// that none begins, since both have withdrawn it.
func TestOnePoolBeginsAJobThatSeveralReceive(t *testing.T) {
	for seed := range uint64(3000) {
		m := &model{random: rand.New(rand.NewPCG(seed, 1)), events: map[time.Duration][]func(){}}
		order := []string{"a", "b", "c"}
		m.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		m.records = append(m.records, jayhome.Record(order[0], []string{address}))
		for _, name := range order {
			p := &party{name: name, pool: jaysched.NewPool(name, jaysched.Settings{Lease: time.Second}), register: jayhome.NewRegister()}
			m.parties = append(m.parties, p)
			_ = p.register.Apply(m.records[0])
			p.register.Assign(address, order[0])
		}
		received := 0
		for n, p := range m.parties {
			for version, name := range order[1:] {
				if m.random.IntN(3) > 0 || name == p.name {
					m.events[time.Duration(20*version)*time.Millisecond] = append(m.events[time.Duration(20*version)*time.Millisecond], func() { p.register.Assign(address, name) })
				}
			}
			if m.random.IntN(4) > 0 || n == 0 {
				received++
				m.after(80*time.Millisecond, func() { m.receive(p) })
			}
		}
		for ; m.now < 5*time.Second; m.now += time.Millisecond {
			for _, event := range m.events[m.now] {
				event()
			}
		}
		begun := 0
		for _, p := range m.parties {
			if p.begun {
				begun++
			}
		}
		if begun != 1 {
			t.Fatalf("seed %d: %d pools have begun the job, of %d that have received it", seed, begun, received)
		}
	}
}
