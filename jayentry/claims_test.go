package jayentry

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jaystandin"
	"jaythread/jayverdict"
)

// payAtOnce sends the same payment to entries concurrently.
func payAtOnce(key string, nodes ...*node) []answer {
	answers := make([]answer, len(nodes))
	var sent sync.WaitGroup
	for n, at := range nodes {
		sent.Go(func() { answers[n] = at.pay(key) })
	}
	sent.Wait()
	return answers
}

// count returns how many answers have a status.
func count(answers []answer, status int) int {
	n := 0
	for _, a := range answers {
		if a.status == status {
			n++
		}
	}
	return n
}

// logDown takes the log service down and waits until the entries know.
func (w *world) logDown() {
	w.log.SetFaults(jaystandin.LogFaults{Down: true})
	time.Sleep(3 * time.Second)
}

func TestPaymentRunsOnce(t *testing.T) {
	t.Run("sent to all entries at once", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			answers := payAtOnce("k", w.nodes...)
			is.Equal(w.runsOf("k"), 1)
			is.Equal(count(answers, 200), 8) // the first ran, the others got its answer
		})
	})
	t.Run("sent again minutes later to another entry", func(t *testing.T) {
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			is.Equal(w.nodes[0].pay("k").status, 200)
			time.Sleep(5 * time.Minute)
			got := w.nodes[3].pay("k")
			is.Equal(got.status, 200)
			is.True(got.replay)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("sent again after the entry that ran it is lost", func(t *testing.T) {
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			is.Equal(w.nodes[0].pay("k").status, 200)
			time.Sleep(100 * time.Millisecond) // the answer is copied
			w.nodes[0].kill()
			is.Equal(w.nodes[1].pay("k").status, 200)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("the entry is lost while it runs", func(t *testing.T) {
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			w.setUpstream(func(_ string, r *http.Request, _ string, _ net.Conn) bool {
				w.ran(r)
				time.Sleep(30 * time.Second)
				return false
			})
			go w.nodes[0].pay("k")
			time.Sleep(time.Second)
			w.nodes[0].kill()
			w.setUpstream(nil)
			got := w.nodes[1].pay("k")
			is.Equal(got.verdict, jayverdict.MayHaveRun)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("another caller's same key is another payment", func(t *testing.T) {
		inWorld(t, 2, func(w *world) {
			is := is.New(w.t)
			is.Equal(w.nodes[0].pay("k").status, 200)
			got := w.nodes[1].send(http.MethodPost, "/fees/pay", "k", "amount=2")
			is.Equal(got.status, 422) // the same caller with another body
			is.Equal(got.verdict, jayverdict.NotRun)
			is.Equal(w.runsOf("k"), 1)
		})
	})
}

func TestPaymentWhileTheLogIsDown(t *testing.T) {
	// Symptom: a payment runs twice around an outage of the platform's store,
	// or every payment is refused for as long as it lasts.
	// Sequence: the log goes down; the payment comes to two entries, or an
	// entry that ran it just before is lost.
	// Cause: a claim that only the log knows.
	t.Run("runs once", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			w.logDown()
			is.Equal(w.nodes[0].pay("k").status, 200)
			is.Equal(w.nodes[5].pay("k").status, 200)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("runs once at two entries at once", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			w.logDown()
			for n := range 20 {
				key := fmt.Sprint("k", n)
				payAtOnce(key, w.nodes[n%8], w.nodes[(n+3)%8])
				is.True(w.runsOf(key) <= 1)
			}
		})
	})
	t.Run("only the first one waits for the log", func(t *testing.T) {
		// Symptom: p99 rises to the claim's timeout for two seconds.
		// Sequence: the log goes down; each payment waits for it in turn.
		// Cause: only the age of the last read was looked at.
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			w.log.SetFaults(jaystandin.LogFaults{Down: true})
			is.Equal(w.nodes[0].pay("first").status, 200)
			began := time.Now()
			is.Equal(w.nodes[0].pay("second").status, 200)
			is.True(time.Since(began) < 50*time.Millisecond) // on the fake clock
		})
	})
	t.Run("two entries are lost, the rest goes on", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			w.logDown()
			is.Equal(w.nodes[0].pay("k").status, 200)
			w.nodes[0].kill()
			w.nodes[1].kill()
			is.Equal(w.nodes[2].pay("new").status, 200)
			is.Equal(w.nodes[2].pay("k").status, 200)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("three entries are lost, first payments are refused", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			w.logDown()
			for _, n := range w.nodes[:3] {
				n.kill()
			}
			got := w.nodes[4].pay("new")
			is.Equal(got.verdict, jayverdict.NotRun)
			is.Equal(w.runsOf("new"), 0)
			is.Equal(w.nodes[4].read().status, 200)
		})
	})
	t.Run("a silent entry may know the claim", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			w.logDown()
			w.nodes[7].set(func(n *node) { n.cutPeer = true })
			got := w.nodes[0].pay("new")
			is.Equal(got.verdict, jayverdict.NotRun)
		})
	})
	t.Run("it ran just before the log went down", func(t *testing.T) {
		// The others have not read the claim from the log yet.
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			for _, n := range w.nodes[1:] {
				n.set(func(n *node) { n.cutLog = true })
			}
			is.Equal(w.nodes[0].pay("k").status, 200)
			w.logDown()
			w.nodes[0].kill()
			for _, n := range w.nodes[1:] {
				n.pay("k")
			}
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("an entry that starts after the outage knows of it", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			w.logDown()
			is.Equal(w.nodes[0].pay("k").status, 200)
			w.log.SetFaults(jaystandin.LogFaults{})
			fresh := w.start()
			w.settle()
			w.settle()
			for _, n := range w.nodes[:8] {
				n.kill()
			}
			w.settle()
			got := fresh.pay("k")
			is.Equal(got.verdict, jayverdict.MayHaveRun)
			is.Equal(w.runsOf("k"), 1)
		})
	})
}

func TestClaimOfAnOutageReachesTheLog(t *testing.T) {
	// Symptom: a payment runs twice, long after an outage.
	// Sequence: it runs while the log is down; the log comes back; all
	// entries are replaced; the payment is sent again.
	// Cause: the claim lived only in the entries of that time.
	inWorld(t, 4, func(w *world) {
		is := is.New(w.t)
		w.logDown()
		is.Equal(w.nodes[0].pay("k").status, 200)
		w.log.SetFaults(jaystandin.LogFaults{})
		w.settle()
		for _, n := range w.nodes {
			n.kill()
		}
		fresh := w.start()
		w.settle()
		w.settle()
		is.Equal(fresh.pay("k").verdict, jayverdict.MayHaveRun)
		is.Equal(w.runsOf("k"), 1)
	})
}

func TestRunningClaimOfACutOffEntryHolds(t *testing.T) {
	// Symptom: a payment runs twice.
	// Sequence: the only entry is cut off from the log and runs a payment by
	// itself; a second entry joins, and its claim stands first in the log.
	// Cause: the log alone was taken to know all claims.
	inWorld(t, 1, func(w *world) {
		is := is.New(w.t)
		w.nodes[0].set(func(n *node) { n.cutLog = true })
		time.Sleep(3 * time.Second)
		second := w.start()
		w.settle()
		is.Equal(w.nodes[0].pay("k").status, 200)
		second.pay("k")
		is.Equal(w.runsOf("k"), 1)
	})
}

func TestRefusedPaymentRunsLater(t *testing.T) {
	// Symptom: a payment that was refused as "not run" can never be made.
	// Sequence: no upstream can be reached; the caller is refused and tries
	// again.
	// Cause: the claim of the refused attempt stays.
	inWorld(t, 4, func(w *world) {
		is := is.New(w.t)
		w.setUpstream(func(_ string, _ *http.Request, _ string, conn net.Conn) bool {
			respond(conn, 503, "", "Jaythread-Verdict: notRun")
			return false
		})
		got := w.nodes[0].pay("k")
		is.Equal(got.verdict, jayverdict.NotRun)
		is.Equal(w.runsOf("k"), 0)
		w.setUpstream(nil)
		time.Sleep(time.Second)
		is.Equal(w.nodes[1].pay("k").status, 200)
		is.Equal(w.runsOf("k"), 1)
	})
	t.Run("also while the log is down", func(t *testing.T) {
		inWorld(t, 4, func(w *world) {
			is := is.New(w.t)
			w.logDown()
			w.setUpstream(func(_ string, _ *http.Request, _ string, conn net.Conn) bool {
				respond(conn, 503, "", "Jaythread-Verdict: notRun")
				return false
			})
			is.Equal(w.nodes[0].pay("k").verdict, jayverdict.NotRun)
			w.setUpstream(nil)
			time.Sleep(time.Second)
			is.Equal(w.nodes[0].pay("k").status, 200)
			is.Equal(w.runsOf("k"), 1)
		})
	})
}

// TestPaymentsUnderAnyFaults sends the same few payments to any entries while
// the log fails and entries are cut off, lost and replaced, in many orders.
func TestPaymentsUnderAnyFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inWorld(t, 6, func(w *world) { payUnderFaults(w, seed) })
		})
	}
}

func payUnderFaults(w *world, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	refused := map[string]bool{}
	var mu sync.Mutex
	var sent sync.WaitGroup
	for n := range 60 {
		key := fmt.Sprint("k", n/3)
		live := w.live()
		at := live[random.IntN(len(live))]
		attempt := fmt.Sprint("attempt ", n)
		sent.Go(func() {
			got := at.pay(key)
			if got.verdict == jayverdict.NotRun {
				mu.Lock()
				refused[attempt] = true
				mu.Unlock()
			}
		})
		w.anyFault(random)
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
	sent.Wait()
	for n := range 20 {
		if key := fmt.Sprint("k", n); w.runsOf(key) > 1 {
			w.t.Errorf("%s ran %d times", key, w.runsOf(key))
		}
	}
	if len(refused) == 60 {
		w.t.Error("every payment was refused")
	}
}

func (w *world) anyFault(random *rand.Rand) {
	live := w.live()
	n := live[random.IntN(len(live))]
	switch random.IntN(12) {
	case 0:
		w.log.SetFaults(jaystandin.LogFaults{Down: true})
	case 1, 2:
		w.log.SetFaults(jaystandin.LogFaults{})
	case 3:
		w.log.SetFaults(jaystandin.LogFaults{LoseAnswers: 2, Delay: 50 * time.Millisecond})
	case 4:
		n.set(func(n *node) { n.cutLog = !n.cutLog })
	case 5:
		n.set(func(n *node) { n.cutPeer = !n.cutPeer })
	case 6:
		if len(live) > 4 {
			n.kill()
		}
	case 7:
		if len(live) < 8 {
			w.start()
		}
	}
}

// TestShareOfPaymentsDuringOutage measures which share of first payments goes
// through while the log is down for a minute, with all entries and with
// some of them lost. docs/notes/at-most-once.md quotes it.
func TestShareOfPaymentsDuringOutage(t *testing.T) {
	for lost, want := range map[int]int{0: 100, 1: 100, 2: 100, 3: 0} {
		t.Run(fmt.Sprintf("%d of 8 entries lost", lost), func(t *testing.T) {
			inWorld(t, 8, func(w *world) {
				w.logDown()
				for _, n := range w.nodes[:lost] {
					n.kill()
				}
				ran := 0
				live := w.live()
				for n := range 100 {
					if live[n%len(live)].pay(fmt.Sprint("k", n)).status == 200 {
						ran++
					}
					time.Sleep(600 * time.Millisecond)
				}
				is.New(w.t).Equal(ran, want)
			})
		})
	}
}
