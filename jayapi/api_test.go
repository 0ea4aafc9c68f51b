package jayapi

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"jaythread/jaystate"
	"jaythread/jaywire"
)

const document = `{
  "pools": [{"name": "seats", "instances": ["seats-*"], "minAvailable": 1}, {"name": "fees", "instances": ["fees-*"]}],
  "rules": [
    {"name": "pay", "about": "request", "when": {"method": ["POST"]}, "then": {"route": "fees"}},
    {"name": "read", "about": "request", "when": {"path": ["/seats/*"]}, "then": {"route": "seats", "idempotent": true}}]}`

// fakeBackend applies each proposed command to its state immediately.
type fakeBackend struct {
	mu    sync.Mutex
	state *jaystate.State
	down  bool
}

func (b *fakeBackend) Self() string                 { return "entry" }
func (b *fakeBackend) Revisions() map[string]uint64 { return map[string]uint64{"entry": 1, "other": 0} }

func (b *fakeBackend) Ready() error {
	if b.state.Configuration() == nil {
		return errors.New("no configuration")
	}
	return nil
}

func (b *fakeBackend) Read(visit func(*jaystate.State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	visit(b.state)
}

func (b *fakeBackend) Propose(c *jaywire.Command, _ time.Duration) (jaystate.Outcome, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return jaystate.Outcome{}, errors.New("log is down")
	}
	record, err := proto.Marshal(&jaywire.Batch{Commands: []*jaywire.Command{c}})
	if err != nil {
		return jaystate.Outcome{}, err
	}
	outcomes, err := b.state.Apply(b.state.Offset, record)
	if err != nil {
		return jaystate.Outcome{}, err
	}
	return outcomes[0], nil
}

// newAPI serves the operator API on loopback and returns its backend and base URL.
func newAPI(t *testing.T, token string) (*fakeBackend, string) {
	t.Helper()
	b := &fakeBackend{state: jaystate.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(b, token, prometheus.NewRegistry())
	go func() { _ = server.HTTP().Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return b, "http://" + listener.Addr().String()
}

// newConfiguredAPI returns an API with a published configuration and three instances.
func newConfiguredAPI(t *testing.T) (*fakeBackend, *Client) {
	t.Helper()
	b, base := newAPI(t, "")
	c := NewClient(base, "", "aster")
	if _, err := c.Publish(Publish{Message: "first", Document: document}); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"seats-1", "seats-2", "seats-3"} {
		_, err := b.Propose(&jaywire.Command{Body: &jaywire.Command_AttachInstance{AttachInstance: &jaywire.AttachInstance{Instance: id, Pool: "seats", Rack: id}}}, 0)
		if err != nil {
			t.Fatal(err)
		}
	}
	return b, c
}

func requireResponseError(t *testing.T, err error) *ResponseError {
	t.Helper()
	var r *ResponseError
	if !errors.As(err, &r) {
		t.Fatalf("%v is no refusal", err)
	}
	return r
}

func TestPublish(t *testing.T) {
	t.Run("a conflict returns the configuration in force", func(t *testing.T) {
		is := is.New(t)
		_, c := newConfiguredAPI(t)
		_, err := c.Publish(Publish{Replaces: 0, Message: "late", Document: document})
		r := requireResponseError(t, err)
		is.Equal(r.Status, 409)
		is.Equal(r.Problem.InForce.Revision, uint64(1))
		is.Equal(r.Problem.InForce.Author, "aster")
	})
	t.Run("an invalid document is refused", func(t *testing.T) {
		is := is.New(t)
		_, c := newConfiguredAPI(t)
		_, err := c.Publish(Publish{Replaces: 1, Document: `{"pools": 3}`})
		is.True(err != nil)
		is.Equal(requireResponseError(t, err).Status, 422)
	})
	t.Run("an unavailable log leaves the outcome unknown", func(t *testing.T) {
		is := is.New(t)
		b, c := newConfiguredAPI(t)
		b.down = true
		_, err := c.Publish(Publish{Replaces: 1, Document: document})
		r := requireResponseError(t, err)
		is.Equal(r.Status, 504)
		is.True(r.Problem.MayHaveTakenEffect)
	})
	t.Run("the revision in force is reported for each entry", func(t *testing.T) {
		is := is.New(t)
		_, c := newConfiguredAPI(t)
		answer, err := c.InForce(1)
		is.NoErr(err)
		is.True(!answer.Everywhere)
		is.Equal(len(answer.Entries), 2)
	})
}

func TestWaves(t *testing.T) {
	is := is.New(t)
	_, c := newConfiguredAPI(t)
	_, err := c.StartWave(Wave{Wave: "w"})
	is.NoErr(err)
	_, err = c.StartWave(Wave{Wave: "w2", Pools: []string{"seats"}})
	is.Equal(requireResponseError(t, err).Status, 422) // the pool already belongs to a wave
	for _, verb := range []string{"pause", "resume", "cancel"} {
		_, err = c.SetWave("w", verb)
		is.NoErr(err)
	}
	_, err = c.SetWave("w", "resume")
	is.True(err != nil)
	_, err = c.SetWave("w", "explode")
	is.Equal(requireResponseError(t, err).Status, 400)
	status, err := c.Status()
	is.NoErr(err)
	is.Equal(status.Waves[0].Phase, "cancelled")
	is.Equal(status.Pools[0].Available, 3)
}

func TestOperatorCalls(t *testing.T) {
	is := is.New(t)
	_, c := newConfiguredAPI(t)
	_, err := c.Move(Move{Instance: "seats-1", Pool: "fees"})
	is.NoErr(err)
	_, err = c.Move(Move{Instance: "seats-2", Pool: "fees"})
	is.True(err != nil) // the pool would not survive the loss of a rack
	_, err = c.Quarantine("nowhere", "set")
	is.True(err != nil)
	_, err = c.ReleaseJob("nothing")
	is.True(err != nil)
}

func TestAuditIncludesRejectedChanges(t *testing.T) {
	is := is.New(t)
	_, c := newConfiguredAPI(t)
	_, err := c.Move(Move{Instance: "seats-1", Pool: "nowhere"})
	is.True(err != nil)
	entries, err := c.Audit(AuditFilter{Kind: "move", Actor: "aster"})
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.True(entries[0].Rejected != "")
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	_, c := newConfiguredAPI(t)
	answer, err := c.Explain(Explain{Method: "GET", Path: "/seats/1"})
	is.NoErr(err)
	is.Equal(answer.Rule, "read")
	is.Equal(answer.Traces[0].Why, "method")
	_, err = c.Explain(Explain{Path: "/", Time: "noon"})
	is.Equal(requireResponseError(t, err).Status, 400)
}

func TestPlanChangesNoState(t *testing.T) {
	is := is.New(t)
	b, c := newConfiguredAPI(t)
	before := b.state.Offset
	plan, err := c.Plan([]string{"seats"}, time.Minute)
	is.NoErr(err)
	is.Equal(len(plan.Steps), 3)
	is.True(plan.RollOutMillis >= plan.LowerBoundMillis)
	is.Equal(b.state.Offset, before)
	i, _ := b.state.Fleet.Instance("seats-1")
	is.Equal(i.MaintainedIn, "")
}

func TestAuthorization(t *testing.T) {
	is := is.New(t)
	_, base := newAPI(t, "secret")
	_, err := NewClient(base, "", "a").Status()
	is.Equal(requireResponseError(t, err).Status, 401)
	_, err = NewClient(base, "wrong", "a").Status()
	is.Equal(requireResponseError(t, err).Status, 401)
	_, err = NewClient(base, "secret", "a").Status()
	is.NoErr(err)
	_, err = NewClient(base, "secret", "").StartWave(Wave{Wave: "w"})
	is.Equal(requireResponseError(t, err).Status, 400) // a write must identify the actor
	status, _, err := fasthttp.Get(nil, base+"/healthz")
	is.NoErr(err)
	is.Equal(status, 200)
	status, _, err = fasthttp.Get(nil, base+"/readyz")
	is.NoErr(err)
	is.Equal(status, 503)
	status, _, err = fasthttp.Get(nil, base+"/metrics")
	is.NoErr(err)
	is.Equal(status, 200)
}
