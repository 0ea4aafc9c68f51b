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

// payConcurrently sends the same payment to several entries at the same time.
func payConcurrently(key string, nodes ...*node) []response {
	responses := make([]response, len(nodes))
	var sent sync.WaitGroup
	for n, at := range nodes {
		sent.Go(func() { responses[n] = at.pay(key) })
	}
	sent.Wait()
	return responses
}

// countStatus returns the number of responses with the given status.
func countStatus(responses []response, status int) int {
	n := 0
	for _, a := range responses {
		if a.status == status {
			n++
		}
	}
	return n
}

// takeLogDown makes the log service fail and waits until the entries have noticed.
func (w *cluster) takeLogDown() {
	w.log.SetFaults(jaystandin.LogFaults{Down: true})
	time.Sleep(3 * time.Second)
}

func TestPaymentRunsOnce(t *testing.T) {
	t.Run("a payment sent to all entries at once runs once", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			answers := payConcurrently("k", w.nodes...)
			is.Equal(w.runsOf("k"), 1)
			is.Equal(countStatus(answers, 200), 8) // the first request ran, the others got its stored answer
		})
	})
	t.Run("a repeat at another entry minutes later gets the stored answer", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			is.Equal(w.nodes[0].pay("k").status, 200)
			time.Sleep(5 * time.Minute)
			got := w.nodes[3].pay("k")
			is.Equal(got.status, 200)
			is.True(got.replay)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("a repeat gets the stored answer after the entry that ran the payment is lost", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			is.Equal(w.nodes[0].pay("k").status, 200)
			time.Sleep(100 * time.Millisecond) // time to copy the answer to the peers
			w.nodes[0].kill()
			is.Equal(w.nodes[1].pay("k").status, 200)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("a repeat gets the verdict MayHaveRun if the entry is lost during the payment", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			w.setUpstream(func(_ string, r *http.Request, _ string, _ net.Conn) bool {
				w.recordRun(r)
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
	t.Run("a key that is reused with another body is refused", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
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
	// Guards against payments that run twice, or are all refused, during an outage
	// of the log: a claim that only the log stores is unknown to the other entries
	// when the payment reaches two of them, or when the entry that ran it just
	// before is lost.
	t.Run("a payment repeated at another entry runs once", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			w.takeLogDown()
			is.Equal(w.nodes[0].pay("k").status, 200)
			is.Equal(w.nodes[5].pay("k").status, 200)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("a payment sent to two entries at once runs at most once", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			w.takeLogDown()
			for n := range 20 {
				key := fmt.Sprint("k", n)
				payConcurrently(key, w.nodes[n%8], w.nodes[(n+3)%8])
				is.True(w.runsOf(key) <= 1)
			}
		})
	})
	t.Run("only the first payment waits for the log", func(t *testing.T) {
		// Guards against a p99 latency that rises to the claim timeout for two
		// seconds: if only the age of the last read decides, each payment waits
		// for the failed log in turn.
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			w.log.SetFaults(jaystandin.LogFaults{Down: true})
			is.Equal(w.nodes[0].pay("first").status, 200)
			began := time.Now()
			is.Equal(w.nodes[0].pay("second").status, 200)
			is.True(time.Since(began) < 50*time.Millisecond) // on the fake clock
		})
	})
	t.Run("payments run while two entries are lost", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			w.takeLogDown()
			is.Equal(w.nodes[0].pay("k").status, 200)
			w.nodes[0].kill()
			w.nodes[1].kill()
			is.Equal(w.nodes[2].pay("new").status, 200)
			is.Equal(w.nodes[2].pay("k").status, 200)
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("new payments are refused while three entries are lost", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			w.takeLogDown()
			for _, n := range w.nodes[:3] {
				n.kill()
			}
			got := w.nodes[4].pay("new")
			is.Equal(got.verdict, jayverdict.NotRun)
			is.Equal(w.runsOf("new"), 0)
			is.Equal(w.nodes[4].read().status, 200)
		})
	})
	t.Run("a new payment is refused while a peer is unreachable", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			w.takeLogDown()
			w.nodes[7].set(func(n *node) { n.cutPeer = true })
			got := w.nodes[0].pay("new")
			is.Equal(got.verdict, jayverdict.NotRun)
		})
	})
	t.Run("a payment made just before the outage runs once", func(t *testing.T) {
		// The other entries have not read the claim from the log yet.
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			for _, n := range w.nodes[1:] {
				n.set(func(n *node) { n.cutLog = true })
			}
			is.Equal(w.nodes[0].pay("k").status, 200)
			w.takeLogDown()
			w.nodes[0].kill()
			for _, n := range w.nodes[1:] {
				n.pay("k")
			}
			is.Equal(w.runsOf("k"), 1)
		})
	})
	t.Run("an entry that starts after the outage knows of the payment", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			w.takeLogDown()
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

func TestClaimsMadeDuringOutageAreAppended(t *testing.T) {
	// Guards against a payment that runs again long after an outage: it runs while
	// the log is down, all entries are replaced once the log is back, and the
	// claim was stored only in the replaced entries.
	withCluster(t, 4, func(w *cluster) {
		is := is.New(w.t)
		w.takeLogDown()
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

func TestClaimOfIsolatedEntryIsRespected(t *testing.T) {
	// Guards against a payment that runs twice: an entry that cannot reach the log
	// runs it under its own claim, and the claim of an entry that has just joined
	// is the first in the log. The log alone does not know all claims.
	withCluster(t, 1, func(w *cluster) {
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
	// Guards against a payment that can never be made after it was refused as not
	// run: no upstream takes it, and the claim of the refused attempt remains.
	withCluster(t, 4, func(w *cluster) {
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
	t.Run("a refused payment runs later while the log is down", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			is := is.New(w.t)
			w.takeLogDown()
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

// TestPaymentsUnderAnyFaults repeats a few payments at random entries while the
// log fails and entries are isolated, killed and replaced in random order.
func TestPaymentsUnderAnyFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withCluster(t, 6, func(w *cluster) { payUnderFaults(w, seed) })
		})
	}
}

func payUnderFaults(w *cluster, seed uint64) {
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
		w.injectRandomFault(random)
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

func (w *cluster) injectRandomFault(random *rand.Rand) {
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

// TestShareOfPaymentsDuringOutage measures the share of first payments that
// succeed while the log is down for a minute, with all entries and with some of
// them lost. docs/notes/at-most-once.md quotes the result.
func TestShareOfPaymentsDuringOutage(t *testing.T) {
	for lost, want := range map[int]int{0: 100, 1: 100, 2: 100, 3: 0} {
		t.Run(fmt.Sprintf("%d of 8 entries lost", lost), func(t *testing.T) {
			withCluster(t, 8, func(w *cluster) {
				w.takeLogDown()
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
