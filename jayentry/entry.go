// Package jayentry assembles an entry instance from its duties, a goroutine
// each: following the log, watching the instance list, heartbeats, planning,
// serving callers, peers and operators.
package jayentry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"jaythread/jayapi"
	"jaythread/jayclaim"
	"jaythread/jayedge"
	"jaythread/jaylog"
	"jaythread/jaymetric"
	"jaythread/jayoptions"
	"jaythread/jaypeer"
	"jaythread/jayplatform"
	"jaythread/jayserve"
	"jaythread/jaystate"
	"jaythread/jayupstream"
	"jaythread/jayverdict"
	"jaythread/jaywire"
)

// Platform is all that an entry needs of the platform.
type Platform interface {
	jayplatform.Log
	jayplatform.InstanceList
	jayplatform.Workers
}

// Entry is one entry instance.
type Entry struct {
	options *jayoptions.Options
	logger  logr.Logger
	list    jayplatform.InstanceList
	workers jayplatform.Workers
	keys    *tls.Config

	upstreamOptions []jayupstream.Option

	store    *Store
	claimLog *claimLog
	claimer  *jayclaim.Claimer
	members  *Membership
	router   *Router
	upstream *jayupstream.Client
	edge     *jayedge.Edge
	api      *jayapi.Server
	peers    *jaypeer.Server
	peerLink PeerLink
	server   *jayserve.Server
	metrics  *jaymetric.Metrics
	planner  *plannerDuty

	stateFollower *jaylog.Follower
	claimFollower *jaylog.Follower

	operatorListener net.Listener
	peerListener     net.Listener
	stopping         atomic.Bool
	started          time.Time
	cancel           context.CancelFunc
	duties           sync.WaitGroup
}

// Option changes how an entry is made.
type Option func(*Entry)

// WithPeerLink replaces the link to peers, for tests.
func WithPeerLink(link PeerLink) Option {
	return func(e *Entry) { e.peerLink = link }
}

// WithUpstreamDial replaces how upstreams are connected to, for tests.
func WithUpstreamDial(dial func(addr string) (net.Conn, error)) Option {
	return func(e *Entry) { e.upstreamOptions = append(e.upstreamOptions, jayupstream.WithDial(dial)) }
}

// New returns an entry that is not started.
func New(options *jayoptions.Options, platform Platform, logger logr.Logger, more ...Option) (*Entry, error) {
	if options.Entry == "" {
		options.Entry = options.DataCenter + "-" + uuid.NewString()[:8]
	}
	keys, err := jaypeer.LoadKeys(options.PeerCertFile, options.PeerKeyFile, options.PeerAuthorityFile)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		options: options,
		logger:  logger,
		list:    platform,
		workers: platform,
		keys:    keys,
		metrics: jaymetric.NewMetrics(),
	}
	for _, option := range more {
		option(e)
	}
	e.assembleState(platform)
	e.assembleServing()
	e.registerMetrics()
	return e, nil
}

func (e *Entry) assembleState(platform Platform) {
	o := e.options
	e.store = NewStore(o.Entry, platform, o.SnapshotEvery, e.logger.WithName("state"))
	e.claimLog = newClaimLog(platform, e.logger.WithName("claims"))
	if e.peerLink == nil {
		e.peerLink = jaypeer.NewClient(o.Entry, time.Duration(o.PeerTimeout), e.keys)
	}
	e.members = NewMembership(o.Entry, e.peerLink, e.store, time.Duration(o.HeartbeatEvery), e.logger.WithName("peers"))
	e.claimer = jayclaim.NewClaimer(o.Entry, jayclaim.Options{
		Window:      time.Duration(o.ClaimWindow),
		Copies:      o.ClaimCopies,
		LogTimeout:  time.Duration(o.ClaimLogTimeout),
		StoredBytes: o.StoredAnswerSize,
		LogFresh:    e.claimsFresh,
	}, e.claimLog, e.members, e.logger.WithName("claims"))
	e.claimLog.claimer = e.claimer
	e.stateFollower = jaylog.NewFollower(platform, StateStream, e.store, e.logger.WithName("state"))
	e.claimFollower = jaylog.NewFollower(platform, ClaimStream, e.claimLog, e.logger.WithName("claims"))
	e.peers = jaypeer.NewServer(o.Entry, time.Duration(o.PeerTimeout), e.handlePeer)
}

// claimsFresh reports whether the claims' stream was read within two of the
// follower's waits; if not, the log is taken to be down.
func (e *Entry) claimsFresh() bool {
	return e.claimFollower.Age() < 2*time.Second
}

func (e *Entry) assembleServing() {
	o := e.options
	e.upstream = jayupstream.NewClient(time.Duration(o.UpstreamIdle), time.Duration(o.DialTimeout), o.BufferBytes, e.upstreamOptions...)
	e.router = NewRouter(o.Entry, e.store, e.members, e.upstream, o.QueuePerPool, e.logger.WithName("router"))
	e.server = jayserve.NewServer(jayserve.Options{
		CallerHeader: o.CallerHeader,
		QueueTime:    time.Duration(o.QueueTime),
		Timeout:      time.Duration(o.RequestTimeout),
		RetryShare:   o.RetryShare,
	}, e, e.claimer, e.upstream, e.metrics, e.logger.WithName("serve"))
	e.edge = jayedge.NewEdge(jayedge.Options{
		Addr:            o.CallerAddr,
		EventLoops:      o.EventLoops,
		MaxRequestBytes: o.MaxRequestBytes,
		MaxConns:        o.MaxCallerConns,
		Idle:            time.Duration(o.CallerIdle),
		Write:           time.Duration(o.RequestTimeout),
	}, e.server.Handle, e.logger.WithName("edge"))
	e.api = jayapi.NewServer(e, o.OperatorToken, e.metrics.Registry)
	e.planner = newPlannerDuty(e)
}

// Start opens the listeners and starts the duties.
func (e *Entry) Start(ctx context.Context) error {
	var err error
	e.peerListener, err = net.Listen("tcp", e.options.PeerAddr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	e.operatorListener, err = net.Listen("tcp", e.options.OperatorAddr)
	if err != nil {
		_ = e.peerListener.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	if err := e.edge.Start(); err != nil {
		_ = e.peerListener.Close()
		_ = e.operatorListener.Close()
		return err
	}
	ctx, e.cancel = context.WithCancel(ctx)
	e.duties.Go(func() { e.peers.Serve(e.peerListener, e.keys) })
	e.duties.Go(func() { _ = e.api.HTTP().Serve(e.operatorListener) })
	e.startDuties(ctx)
	e.logger.Info("started", "entry", e.options.Entry, "callers", e.options.CallerAddr)
	return nil
}

// startDuties starts the duties that need no listener.
func (e *Entry) startDuties(ctx context.Context) {
	e.started = time.Now()
	e.duties.Go(func() { e.followState(ctx) })
	e.duties.Go(func() { e.claimFollower.Run(ctx) })
	e.duties.Go(func() { e.store.committer.Run(ctx) })
	e.duties.Go(func() { e.claimLog.committer.Run(ctx) })
	e.duties.Go(func() { e.watchList(ctx) })
	e.duties.Go(func() { e.router.Run(ctx) })
	e.duties.Go(func() {
		e.members.Run(ctx, e.stateFollower.Age, e.NoteLeaving)
	})
	e.duties.Go(func() { e.keepJoined(ctx) })
	e.duties.Go(func() { e.syncClaims(ctx) })
	e.duties.Go(func() { e.planner.run(ctx) })
	e.duties.Go(func() { e.appendSnapshots(ctx) })
}

// followState begins with the newest snapshot, or while the log is down with
// the state of a peer.
func (e *Entry) followState(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.store.LoadFromLog()
		if err == nil || e.adoptFromPeers() {
			break
		}
		e.logger.Info("no state yet", "error", err.Error())
		sleep(ctx, watchPause)
	}
	e.stateFollower.Run(ctx)
}

// adoptFromPeers asks the peers named in the settings and on the instance
// list for their state; this entry knows no members yet.
func (e *Entry) adoptFromPeers() bool {
	for _, addr := range e.options.PeerSeeds {
		response, err := e.peerLink.Ask("", addr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_FetchState{FetchState: &jaywire.FetchState{}}})
		if err != nil || response.GetSnapshot() == nil {
			continue
		}
		adopted, err := e.store.Adopt(response.GetSnapshot())
		if err != nil {
			e.logger.Info("peer's state refused", "peer", addr, "error", err.Error())
			continue
		}
		if adopted {
			e.logger.Info("state taken from a peer", "peer", addr)
			return true
		}
	}
	return false
}

const joinPause = 500 * time.Millisecond

// keepJoined shares out the appends by the number of members, and proposes to join until the state shows it, and again if another
// entry took this one for ended.
func (e *Entry) keepJoined(ctx context.Context) {
	for ctx.Err() == nil {
		members := len(e.members.Others()) + 1
		e.claimLog.committer.SetRate(claimAppendsPerSecond / float64(members))
		joined := e.store.CaughtUp() && e.isMember()
		if !joined && e.store.CaughtUp() && !e.stopping.Load() {
			_, err := e.store.Propose(&jaywire.Command{
				Reason: "started",
				Body: &jaywire.Command_JoinEntry{JoinEntry: &jaywire.JoinEntry{
					Entry: e.options.Entry, PeerAddr: e.options.PeerAddr, DataCenter: e.options.DataCenter,
				}},
			}, proposeTimeout)
			if err != nil {
				e.logger.V(1).Info("not joined yet", "error", err.Error())
			}
		}
		sleep(ctx, joinPause)
	}
}

func (e *Entry) isMember() bool {
	member := false
	e.store.Read(func(s *jaystate.State) { _, member = s.Member(e.options.Entry) })
	return member
}

// Self returns the entry's identity.
func (e *Entry) Self() string {
	return e.options.Entry
}

// Read calls visit with the state.
func (e *Entry) Read(visit func(*jaystate.State)) {
	e.store.Read(visit)
}

// Propose has the fold decide on a command.
func (e *Entry) Propose(c *jaywire.Command, timeout time.Duration) (jaystate.Outcome, error) {
	return e.store.Propose(c, timeout)
}

// Revisions returns the revision in force at each live entry.
func (e *Entry) Revisions() map[string]uint64 {
	revisions := e.members.Revisions()
	revisions[e.options.Entry] = 0
	if v := e.router.View(); v != nil {
		revisions[e.options.Entry] = v.Revision
	}
	return revisions
}

// Errors that readyz shows.
var (
	errNoConfiguration = errors.New("no configuration is in force yet")
	errClaims          = errors.New("earlier claims are not known yet")
	errStopping        = errors.New("stopping")
	errCutOff          = errors.New("cut off from the log and from most peers: the view may be out of date")
)

// Ready returns why the entry does not serve, or nil.
func (e *Entry) Ready() error {
	if e.stopping.Load() {
		return errStopping
	}
	if e.router.View() == nil {
		return errNoConfiguration
	}
	if !e.viewUsable() {
		return errCutOff
	}
	if !e.claimer.Ready() && time.Since(e.started) < claimPatience {
		return errClaims
	}
	return nil
}

// claimPatience is for how long an entry that has just started waits for the
// earlier claims before it says that it is ready. After it, the entry takes
// what needs no claim and refuses the rest.
const claimPatience = 5 * time.Second

// viewUsable reports whether the view may be used to route. An entry that
// hears neither the log nor a majority of the entries may be the only one that
// has not seen an instance drain or move; it must stop before the others rely
// on that. While the log is down for all, the majority is heard and serving
// goes on.
func (e *Entry) viewUsable() bool {
	return e.stateFollower.Age() <= viewLease || e.members.Majority()
}

// View returns the view that requests are decided by.
func (e *Entry) View() (*jayserve.View, *jayverdict.Error) {
	v := e.router.View()
	if v == nil {
		return nil, jayverdict.NewNotRun(503, errNoConfiguration.Error(), time.Second)
	}
	if !e.viewUsable() {
		return nil, jayverdict.NewNotRun(503, errCutOff.Error(), time.Second)
	}
	return v, nil
}

// Stopping reports whether this entry is about to end.
func (e *Entry) Stopping() bool {
	return e.stopping.Load()
}

// NoteLeaving learns from an upstream or a peer that an upstream leaves.
func (e *Entry) NoteLeaving(upstream string) {
	if e.members.NoteLeaving(upstream) {
		e.router.leaving.Push(upstream)
	}
}

func (e *Entry) handlePeer(request *jaywire.PeerRequest) *jaywire.PeerResponse {
	switch body := request.Body.(type) {
	case *jaywire.PeerRequest_Heartbeat:
		ack := e.members.HandleHeartbeat(request.From, body.Heartbeat, e.stateFollower.Age(), e.NoteLeaving)
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_HeartbeatAck{HeartbeatAck: ack}}
	case *jaywire.PeerRequest_FetchState:
		snapshot, err := e.store.Snapshot()
		if err != nil {
			return &jaywire.PeerResponse{}
		}
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Snapshot{Snapshot: snapshot}}
	case *jaywire.PeerRequest_Claim:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_ClaimAnswer{ClaimAnswer: e.claimer.HandleClaim(body.Claim)}}
	case *jaywire.PeerRequest_FetchAnswer:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_StoredAnswer{StoredAnswer: e.claimer.HandleFetch(body.FetchAnswer)}}
	case *jaywire.PeerRequest_StoreAnswer:
		e.claimer.HandleStore(body.StoreAnswer)
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Stored{Stored: &jaywire.Stored{}}}
	case *jaywire.PeerRequest_FetchClaims:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Claims{Claims: e.claimer.HandleFetchClaims()}}
	default:
		return &jaywire.PeerResponse{}
	}
}
