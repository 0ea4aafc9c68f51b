package jayentry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaythread/jayplatform"
	"jaythread/jaystandin"
	"jaythread/jayverdict"
)

// tries counts the requests that reached each upstream.
type tries struct {
	mu sync.Mutex
	at map[string]int
}

func (c *tries) add(addr string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = map[string]int{}
	}
	c.at[addr]++
	sum := 0
	for _, n := range c.at {
		sum += n
	}
	return sum
}

func (c *tries) sum() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, n := range c.at {
		sum += n
	}
	return sum
}

const refusal = "Jaythread-Verdict: notRun"

func TestRetries(t *testing.T) {
	t.Run("an idempotent request is tried at another upstream", func(t *testing.T) {
		inWorld(t, 1, func(w *world) {
			is := is.New(w.t)
			for range 10 {
				var seen tries
				w.setUpstream(func(addr string, _ *http.Request, _ string, conn net.Conn) bool {
					if seen.add(addr) == 1 {
						return false // closed without an answer
					}
					respond(conn, 200, "second")
					return true
				})
				is.Equal(w.nodes[0].read().status, 200)
				is.Equal(len(seen.at), 2)
			}
		})
	})
	t.Run("a payment that may have run is not", func(t *testing.T) {
		// Symptom: a family pays twice.
		// Sequence: the upstream runs the payment and fails before it
		// answers; the entry tries another upstream.
		// Cause: a lost answer taken for a lost request.
		inWorld(t, 1, func(w *world) {
			is := is.New(w.t)
			var seen tries
			w.setUpstream(func(addr string, _ *http.Request, _ string, _ net.Conn) bool {
				seen.add(addr)
				return false
			})
			for _, key := range []string{"k", ""} {
				got := w.nodes[0].send(http.MethodPost, "/fees/pay", key, "")
				is.Equal(got.status, 502)
				is.Equal(got.verdict, jayverdict.MayHaveRun)
			}
			is.Equal(seen.sum(), 2)
		})
	})
	t.Run("a payment that an upstream refused by contract is", func(t *testing.T) {
		inWorld(t, 1, func(w *world) {
			is := is.New(w.t)
			var seen tries
			w.setUpstream(func(addr string, _ *http.Request, _ string, conn net.Conn) bool {
				if seen.add(addr) == 1 {
					respond(conn, 503, "", refusal)
					return true
				}
				respond(conn, 200, "paid")
				return true
			})
			is.Equal(w.nodes[0].pay("k").status, 200)
		})
	})
	t.Run("they stay a small share when everything fails", func(t *testing.T) {
		inWorld(t, 1, func(w *world) {
			is := is.New(w.t)
			var seen tries
			w.setUpstream(func(addr string, _ *http.Request, _ string, conn net.Conn) bool {
				seen.add(addr)
				return false
			})
			for range 500 {
				w.nodes[0].read()
			}
			is.True(seen.sum() <= 500+50+10)
		})
	})
}

func TestRefusalAfterAnAttemptMayHaveRun(t *testing.T) {
	// Symptom: a request that was refused as "not run" ran.
	// Sequence: an upstream runs an idempotent request and is cut; the next
	// ones refuse it as not run.
	// Cause: the verdict of the last attempt was taken for that of all.
	inWorld(t, 1, func(w *world) {
		is := is.New(w.t)
		var seen tries
		w.setUpstream(func(addr string, _ *http.Request, _ string, conn net.Conn) bool {
			if seen.add(addr) == 1 {
				return false
			}
			respond(conn, 503, "", refusal)
			return true
		})
		got := w.nodes[0].read()
		is.Equal(got.verdict, jayverdict.MayHaveRun)
		is.True(seen.sum() > 1)
	})
}

func TestLateAnswerGoesToNobody(t *testing.T) {
	// Symptom: a caller receives another caller's answer.
	// Sequence: a request times out; its upstream answers later; another
	// caller's request follows.
	// Cause: connections or buffers of a request that was given up are used
	// again.
	inWorld(t, 1, func(w *world) {
		is := is.New(w.t)
		w.setUpstream(func(_ string, r *http.Request, _ string, conn net.Conn) bool {
			if r.URL.Path == "/fees/slow" {
				time.Sleep(7 * time.Second) // the timeout is 5 s
			}
			respond(conn, 200, "for "+r.URL.Path)
			return true
		})
		slow := make(chan answer, 1)
		go func() { slow <- w.nodes[0].send(http.MethodGet, "/fees/slow", "", "") }()
		for n := range 80 {
			path := fmt.Sprint("/fees/", n)
			got := w.nodes[0].send(http.MethodGet, path, "", "")
			is.Equal(got.body, "for "+path)
			time.Sleep(100 * time.Millisecond)
		}
		got := <-slow
		is.Equal(got.status, 504)
		is.Equal(got.verdict, jayverdict.MayHaveRun)
	})
}

func TestLeavingUpstream(t *testing.T) {
	// Symptom: a leaving upstream gets new work for as long as the instance
	// list lags.
	// Sequence: an upstream refuses a request and closes; other entries have
	// not heard of it.
	// Cause: each entry learned only from the list.
	t.Run("all entries learn from the first refusal", func(t *testing.T) {
		inWorld(t, 8, func(w *world) {
			is := is.New(w.t)
			var seen tries
			var leaving string
			var mu sync.Mutex
			w.setUpstream(func(addr string, _ *http.Request, _ string, conn net.Conn) bool {
				mu.Lock()
				defer mu.Unlock()
				if leaving == "" {
					leaving = addr
				}
				if addr == leaving {
					seen.add(addr)
					respond(conn, 503, "", refusal, "Connection: close")
					return false
				}
				respond(conn, 200, "ok")
				return true
			})
			is.Equal(w.nodes[0].read().status, 200)
			time.Sleep(2 * time.Second)
			before := seen.sum()
			for n := range 200 {
				is.Equal(w.nodes[n%8].read().status, 200)
			}
			is.Equal(seen.sum(), before)
		})
	})
	t.Run("the list's word ends it, and gives it back", func(t *testing.T) {
		inWorld(t, 2, func(w *world) {
			is := is.New(w.t)
			w.setWorker("fees-0", jayplatform.Leaving)
			time.Sleep(2 * time.Second)
			is.Equal(w.nodes[1].entry.router.View().Pools["fees"].Size(), 3)
			w.setWorker("fees-0", jayplatform.Live)
			time.Sleep(2 * time.Second)
			is.Equal(w.nodes[1].entry.router.View().Pools["fees"].Size(), 4)
		})
	})
}

func TestUpstreamThatLeavesWhileAClaimWaits(t *testing.T) {
	// Symptom: an instance that has left, or moved to another pool, gets one
	// more payment.
	// Sequence: a payment has its slot; its claim waits for a slow log; the
	// instance leaves meanwhile.
	// Cause: the choice of the upstream was not looked at again.
	inWorld(t, 2, func(w *world) {
		is := is.New(w.t)
		for n := 1; n < 4; n++ {
			w.setWorker(fmt.Sprint("fees-", n), jayplatform.Leaving)
		}
		w.settle()
		var seen tries
		w.setUpstream(func(addr string, r *http.Request, _ string, conn net.Conn) bool {
			seen.add(addr)
			w.ran(r)
			respond(conn, 200, "paid")
			return true
		})
		w.log.SetFaults(jaystandin.LogFaults{Delay: 250 * time.Millisecond})
		got := make(chan answer, 1)
		go func() { got <- w.nodes[0].pay("k") }()
		time.Sleep(100 * time.Millisecond) // the slot on fees-0 is taken
		w.nodes[0].entry.NoteLeaving("fees-0")
		time.Sleep(time.Minute)
		is.Equal((<-got).verdict, jayverdict.NotRun)
		is.Equal(seen.sum(), 0)
		is.Equal(w.runsOf("k"), 0)
	})
}

func TestHeadersOfOneConnectionStayThere(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		is := is.New(w.t)
		var got http.Header
		w.setUpstream(func(_ string, r *http.Request, _ string, conn net.Conn) bool {
			got = r.Header
			respond(conn, 200, "ok", "Connection: X-Hop", "Set-Cookie: a=1", "Set-Cookie: b=2", "Keep-Alive: timeout=5", "X-Kept: yes")
			return true
		})
		sent := w.nodes[0].send(http.MethodGet, "/fees/list", "", "", "Keep-Alive: 5", "Connection: X-Mine", "X-Mine: 1", "X-Kept: yes")
		is.Equal(sent.status, 200)
		is.Equal(got.Get("Jaythread-Pool"), "fees")
		is.Equal(got.Get("Keep-Alive")+got.Get("X-Mine"), "")
		is.Equal(got.Get("X-Kept"), "yes")
	})
}

func TestRulesDecide(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		is := is.New(w.t)
		rules := `"rules": [
    {"name": "closed", "about": "request", "when": {"path": ["/fees/closed"]}, "then": {"refuse": "closed until Monday"}},
    {"name": "slow", "about": "request", "when": {"path": ["/fees/limited"]}, "then": {"route": "fees", "callerRate": 2}},
    {"name": "read", "about": "request", "when": {"path": ["/fees/*"]}, "then": {"route": "fees", "idempotent": true}}]}`
		w.publish(0, worldDocument[:strings.Index(worldDocument, `"rules"`)]+rules)
		w.settle()
		got := w.nodes[0].send(http.MethodGet, "/fees/closed", "", "")
		is.Equal(got.status, 403)
		is.True(hasText(got, "closed until Monday"))
		is.Equal(w.nodes[0].send(http.MethodGet, "/elsewhere", "", "").status, 404)
		limited := 0
		for range 10 {
			if w.nodes[0].send(http.MethodGet, "/fees/limited", "", "").status == 429 {
				limited++
			}
		}
		is.Equal(limited, 8)
	})
}

func TestLearnedClaimsHold(t *testing.T) {
	// Symptom: a payment runs twice after an outage.
	// Sequence: it runs while the log is down; an entry joins when the log is
	// back; the old entries end before they could append the claim.
	// Cause: an entry that starts reads the log alone.
	inWorld(t, 3, func(w *world) {
		is := is.New(w.t)
		w.logDown()
		is.Equal(w.nodes[0].pay("k").status, 200)
		old := append([]*node(nil), w.nodes...)
		for _, n := range old {
			n.set(func(n *node) { n.cutLog = true })
		}
		w.log.SetFaults(noFaults)
		fresh := w.start()
		w.settle()
		w.settle()
		for _, n := range old {
			n.kill()
		}
		w.settle()
		is.Equal(fresh.pay("k").verdict, jayverdict.MayHaveRun)
		is.Equal(w.runsOf("k"), 1)
		is.Equal(fresh.pay("new").status, 200)
	})
}
