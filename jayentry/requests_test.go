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

// attemptCounter counts the requests that reached each upstream.
type attemptCounter struct {
	mu sync.Mutex
	at map[string]int
}

func (c *attemptCounter) add(addr string) int {
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

func (c *attemptCounter) sum() int {
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
	t.Run("an idempotent request is retried at another upstream", func(t *testing.T) {
		withCluster(t, 1, func(w *cluster) {
			is := is.New(w.t)
			for range 10 {
				var seen attemptCounter
				w.setUpstream(func(addr string, _ *http.Request, _ string, conn net.Conn) bool {
					if seen.add(addr) == 1 {
						return false // the connection is closed without a response
					}
					respond(conn, 200, "second")
					return true
				})
				is.Equal(w.nodes[0].read().status, 200)
				is.Equal(len(seen.at), 2)
			}
		})
	})
	t.Run("a payment that may have run is not retried", func(t *testing.T) {
		// Guards against a double payment: an upstream runs the payment and fails
		// before it responds, and the entry retries at another upstream as if the
		// request had been lost.
		withCluster(t, 1, func(w *cluster) {
			is := is.New(w.t)
			var seen attemptCounter
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
	t.Run("a payment that an upstream refused as not run is retried", func(t *testing.T) {
		withCluster(t, 1, func(w *cluster) {
			is := is.New(w.t)
			var seen attemptCounter
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
	t.Run("retries stay a small share of requests when every attempt fails", func(t *testing.T) {
		withCluster(t, 1, func(w *cluster) {
			is := is.New(w.t)
			var seen attemptCounter
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
	// Guards against a request that ran but was refused as not run: the first
	// upstream runs it and loses the connection, the next ones refuse it, and the
	// verdict of the last attempt is reported for all.
	withCluster(t, 1, func(w *cluster) {
		is := is.New(w.t)
		var seen attemptCounter
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

func TestLateAnswerIsDiscarded(t *testing.T) {
	// Guards against a caller that receives another caller's response: a request
	// times out, its upstream responds later, and the connection or buffers of the
	// abandoned request serve the next one.
	withCluster(t, 1, func(w *cluster) {
		is := is.New(w.t)
		w.setUpstream(func(_ string, r *http.Request, _ string, conn net.Conn) bool {
			if r.URL.Path == "/fees/slow" {
				time.Sleep(7 * time.Second) // longer than the request timeout of 5 s
			}
			respond(conn, 200, "for "+r.URL.Path)
			return true
		})
		slow := make(chan response, 1)
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
	// Guards against new requests to a leaving upstream for as long as the
	// instance list lags: it refuses a request of one entry and closes the
	// connection, and the other entries learn of it only from the list.
	t.Run("all entries avoid a leaving upstream after its first refusal", func(t *testing.T) {
		withCluster(t, 8, func(w *cluster) {
			is := is.New(w.t)
			var seen attemptCounter
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
	t.Run("the instance list removes an upstream and adds it again", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
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
	// Guards against a payment sent to an instance that has left or moved to
	// another pool: the payment holds a slot there while its claim waits for a
	// slow log, the instance leaves meanwhile, and the chosen upstream is not
	// checked again.
	withCluster(t, 2, func(w *cluster) {
		is := is.New(w.t)
		for n := 1; n < 4; n++ {
			w.setWorker(fmt.Sprint("fees-", n), jayplatform.Leaving)
		}
		w.settle()
		var seen attemptCounter
		w.setUpstream(func(addr string, r *http.Request, _ string, conn net.Conn) bool {
			seen.add(addr)
			w.recordRun(r)
			respond(conn, 200, "paid")
			return true
		})
		w.log.SetFaults(jaystandin.LogFaults{Delay: 250 * time.Millisecond})
		got := make(chan response, 1)
		go func() { got <- w.nodes[0].pay("k") }()
		time.Sleep(100 * time.Millisecond) // the slot on fees-0 is acquired
		w.nodes[0].entry.NoteLeaving("fees-0")
		time.Sleep(time.Minute)
		is.Equal((<-got).verdict, jayverdict.NotRun)
		is.Equal(seen.sum(), 0)
		is.Equal(w.runsOf("k"), 0)
	})
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	withCluster(t, 1, func(w *cluster) {
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

func TestRulesRefuseAndLimitRequests(t *testing.T) {
	withCluster(t, 1, func(w *cluster) {
		is := is.New(w.t)
		rules := `"rules": [
    {"name": "closed", "about": "request", "when": {"path": ["/fees/closed"]}, "then": {"refuse": "closed until Monday"}},
    {"name": "slow", "about": "request", "when": {"path": ["/fees/limited"]}, "then": {"route": "fees", "callerRate": 2}},
    {"name": "read", "about": "request", "when": {"path": ["/fees/*"]}, "then": {"route": "fees", "idempotent": true}}]}`
		w.publish(0, clusterDocument[:strings.Index(clusterDocument, `"rules"`)]+rules)
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

func TestClaimsLearnedFromPeersAreRespected(t *testing.T) {
	// Guards against a payment that runs twice after an outage: it runs while the
	// log is down, another entry joins once the log is back, and the old entries
	// end before they append the claim. An entry that starts must not rely on the
	// log alone.
	withCluster(t, 3, func(w *cluster) {
		is := is.New(w.t)
		w.takeLogDown()
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
