package jayentry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayoptions"
	"jaythread/jaypeer"
	"jaythread/jayplatform"
	"jaythread/jaystandin"
	"jaythread/jaystate"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// cluster is a set of entries on a fake clock with fake dependencies: the log
// stand-in, an instance list, upstreams on in-memory connections, and a peer link
// that can be interrupted.
type cluster struct {
	t   *testing.T
	log *jaystandin.LogService

	mu    sync.Mutex
	nodes []*node
	runs  map[string]int
	list  []jayplatform.Instance
	// upstream handles a request at an upstream; nil answers with 200.
	upstream func(addr string, r *http.Request, body string, conn net.Conn) bool
	reverted []string
}

// node is one entry of the cluster and the faults injected into it.
type node struct {
	cluster *cluster
	entry   *Entry
	addr    string
	cancel  context.CancelFunc
	dead    bool
	cutLog  bool
	cutPeer bool
	highest uint64
}

const (
	peerTimeout = time.Second
	linkDelay   = time.Millisecond
)

// withCluster runs a test on a fake clock in a cluster of n entries that have a
// configuration in force.
func withCluster(t *testing.T, n int, test func(w *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t)
		defer w.stopAll()
		for range n {
			w.start()
		}
		w.publish(0, clusterDocument)
		w.settle()
		test(w)
		for _, text := range w.reverted {
			t.Error(text)
		}
	})
}

const clusterDocument = `{
  "pools": [{"name": "fees", "instances": ["fees-*"], "minAvailable": 2}],
  "rules": [
    {"name": "pay", "about": "request", "when": {"method": ["POST"]}, "then": {"route": "fees"}},
    {"name": "read", "about": "request", "then": {"route": "fees", "idempotent": true}}]}`

func newCluster(t *testing.T) *cluster {
	w := &cluster{t: t, log: jaystandin.NewLogService(), runs: map[string]int{}}
	for n := range 4 {
		w.list = append(w.list, jayplatform.Instance{
			ID: fmt.Sprintf("fees-%d", n), Kind: jayplatform.Worker, Addr: fmt.Sprintf("10.0.0.%d:80", n),
			Rack: fmt.Sprint(n), DataCenter: "dc", State: jayplatform.Live,
		})
	}
	return w
}

// start adds an entry to the cluster.
func (w *cluster) start() *node {
	w.mu.Lock()
	number := len(w.nodes)
	w.mu.Unlock()
	n := &node{cluster: w, addr: fmt.Sprintf("peer-%d", number)}
	o := jayoptions.New()
	o.Entry = fmt.Sprintf("entry-%d", number)
	o.PeerAddr = n.addr
	for _, other := range w.live() {
		o.PeerSeeds = append(o.PeerSeeds, other.addr)
	}
	entry, err := New(o, &nodePlatform{node: n}, logr.Discard(), WithPeerLink(&fakePeerLink{node: n}), WithUpstreamDial(w.dial))
	if err != nil {
		w.t.Fatal(err)
	}
	n.entry = entry
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	entry.startDuties(ctx)
	go n.watchRevision(ctx)
	return n
}

// watchRevision records an error if the revision in force decreases.
func (n *node) watchRevision(ctx context.Context) {
	for ctx.Err() == nil {
		if v := n.entry.router.View(); v != nil {
			n.cluster.mu.Lock()
			if v.Revision < n.highest {
				n.cluster.reverted = append(n.cluster.reverted, fmt.Sprintf("%s went back from %d to %d", n.entry.Self(), n.highest, v.Revision))
			}
			n.highest = max(n.highest, v.Revision)
			n.cluster.mu.Unlock()
		}
		jayclock.Sleep(ctx, 20*time.Millisecond)
	}
}

// kill ends an entry without a graceful stop.
func (n *node) kill() {
	n.cluster.mu.Lock()
	n.dead = true
	n.cluster.mu.Unlock()
	n.cancel()
}

func (n *node) set(change func(n *node)) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	change(n)
}

func (n *node) is(what func(n *node) bool) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return what(n)
}

func (w *cluster) live() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*node
	for _, n := range w.nodes {
		if !n.dead {
			live = append(live, n)
		}
	}
	return live
}

func (w *cluster) stopAll() {
	for _, n := range w.live() {
		n.kill()
	}
	w.log.SetFaults(jaystandin.LogFaults{})
	time.Sleep(time.Minute)
}

// settle gives the entries time to finish the work in progress.
func (w *cluster) settle() {
	time.Sleep(4 * time.Second)
	synctest.Wait()
}

func (w *cluster) publish(at int, document string) jaystate.Outcome {
	w.t.Helper()
	entry := w.nodes[at].entry
	var replaces uint64
	entry.Read(func(s *jaystate.State) { replaces = s.Revision.Number })
	outcome, err := entry.Propose(publishCommand(replaces, document), 10*time.Second)
	if err != nil {
		w.t.Fatalf("publish: %v", err)
	}
	return outcome
}

func publishCommand(replaces uint64, document string) *jaywire.Command {
	return &jaywire.Command{Actor: "operator", Body: &jaywire.Command_PublishConfiguration{
		PublishConfiguration: &jaywire.PublishConfiguration{Replaces: replaces, Document: []byte(document)},
	}}
}

func (n *node) revision() uint64 {
	if v := n.entry.router.View(); v != nil {
		return v.Revision
	}
	return 0
}

// response is the response that a caller received.
type response struct {
	status  int
	verdict jayverdict.Verdict
	body    string
	replay  bool
}

// pay sends a payment with an idempotency key to the entry.
func (n *node) pay(key string) response {
	return n.send(http.MethodPost, "/fees/pay", key, "amount=1")
}

func (n *node) read() response {
	return n.send(http.MethodGet, "/fees/list", "", "")
}

func (n *node) send(method, path, key, body string, headers ...string) response {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://jaythread" + path)
	req.SetBodyString(body)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(req, &net.TCPAddr{}, nil)
	n.entry.server.Handle(ctx)
	return response{
		status:  ctx.Response.StatusCode(),
		verdict: jayverdict.Parse(string(ctx.Response.Header.Peek(jayverdict.Header))),
		body:    string(ctx.Response.Body()),
		replay:  len(ctx.Response.Header.Peek("Idempotent-Replayed")) > 0,
	}
}

// runsOf returns how often an upstream ran the payment with the given key.
func (w *cluster) runsOf(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// dial connects to a fake upstream.
func (w *cluster) dial(addr string) (net.Conn, error) {
	near, far := net.Pipe()
	go w.serveUpstream(addr, far)
	return near, nil
}

func (w *cluster) serveUpstream(addr string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		handle := w.upstream
		w.mu.Unlock()
		if handle != nil && !handle(addr, request, string(body), conn) {
			return
		}
		if handle == nil {
			w.recordRun(request)
			respond(conn, 200, "ran")
		}
		if request.Close {
			return
		}
	}
}

func (w *cluster) recordRun(r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		w.runs[key]++
	}
}

func respond(conn net.Conn, status int, body string, headers ...string) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, h := range headers {
		head += h + "\r\n"
	}
	_, _ = conn.Write([]byte(head + "\r\n" + body))
}

// setUpstream replaces the request handler of all upstreams.
func (w *cluster) setUpstream(handle func(addr string, r *http.Request, body string, conn net.Conn) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstream = handle
}

// fakePeerLink is an entry's connection to its peers.
type fakePeerLink struct {
	node *node
}

// Ask passes a request to the peer at the given address.
func (l *fakePeerLink) Ask(to, addr string, request *jaywire.PeerRequest) (*jaywire.PeerResponse, error) {
	w := l.node.cluster
	var target *node
	w.mu.Lock()
	for _, n := range w.nodes {
		if n.addr == addr {
			target = n
		}
	}
	cut := l.node.cutPeer || target == nil || target.cutPeer
	dead := target != nil && target.dead
	w.mu.Unlock()
	if cut {
		time.Sleep(peerTimeout)
		return nil, jaypeer.ErrUnreachable
	}
	time.Sleep(linkDelay)
	if dead || to != "" && target.entry.Self() != to {
		return nil, jaypeer.ErrGone
	}
	asked := proto.Clone(request).(*jaywire.PeerRequest)
	asked.From = l.node.entry.Self()
	response := target.entry.handlePeer(asked)
	time.Sleep(linkDelay)
	return proto.Clone(response).(*jaywire.PeerResponse), nil
}

// Close does nothing.
func (l *fakePeerLink) Close() {}

// nodePlatform is the platform as seen by one entry.
type nodePlatform struct {
	node *node
}

var errCutLog = errors.Join(jayplatform.ErrUnavailable, errors.New("cut off from the log"))

func (p *nodePlatform) cut() bool {
	return p.node.is(func(n *node) bool { return n.cutLog || n.dead })
}

// Append adds a record, unless the entry is isolated from the log.
func (p *nodePlatform) Append(stream string, record []byte) (uint64, error) {
	time.Sleep(linkDelay)
	if p.cut() {
		return 0, errCutLog
	}
	return p.node.cluster.log.Append(stream, record)
}

// Read returns records, unless the entry is isolated from the log.
func (p *nodePlatform) Read(stream string, from uint64, wait time.Duration) (jayplatform.Page, error) {
	time.Sleep(linkDelay)
	if p.cut() {
		return jayplatform.Page{}, errCutLog
	}
	page, err := p.node.cluster.log.Read(stream, from, wait)
	if p.cut() {
		return jayplatform.Page{}, errCutLog
	}
	return page, err
}

// Since returns the changes of the instance list since a version.
func (p *nodePlatform) Since(version uint64, wait time.Duration) (jayplatform.Changes, error) {
	w := p.node.cluster
	w.mu.Lock()
	changes := jayplatform.Changes{Version: uint64(len(w.list))}
	if int(version) < len(w.list) {
		changes.Instances = append(changes.Instances, w.list[version:]...)
	}
	w.mu.Unlock()
	if len(changes.Instances) == 0 {
		time.Sleep(wait)
	}
	return changes, nil
}

// setWorker changes the state of a worker on the instance list.
func (w *cluster) setWorker(id string, state jayplatform.InstanceState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.list {
		if i.ID == id {
			i.State = state
			w.list = append(w.list, i)
			return
		}
	}
}

// Do accepts every order.
func (p *nodePlatform) Do(string, uint64, jayplatform.Order) error {
	return nil
}

var noFaults = jaystandin.LogFaults{}

func hasText(a response, text string) bool {
	return strings.Contains(a.body, text)
}
