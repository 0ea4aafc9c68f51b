// Package jayentry assembles an entry instance from its background duties, each in
// its own goroutine: following the log, watching the instance list, sending
// heartbeats, planning, and serving callers, peers and operators.
package jayentry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"jaythread/jayapi"
	"jaythread/jayclaim"
	"jaythread/jayclock"
	"jaythread/jayedge"
	"jaythread/jaylog"
	"jaythread/jaymetric"
	"jaythread/jayoptions"
	"jaythread/jaypeer"
	"jaythread/jayplatform"
	"jaythread/jayserve"
	"jaythread/jaystate"
	"jaythread/jayupstream"
	"jaythread/jaywire"
)

// Platform combines the platform interfaces that an entry uses.
type Platform interface {
	jayplatform.Log
	jayplatform.InstanceList
	jayplatform.Workers
}

// Entry is an entry instance.
type Entry struct {
	options *jayoptions.Options
	base    logr.Logger
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

// Option customizes an entry in New.
type Option func(*Entry)

// WithPeerLink replaces the connection to peers, for tests.
func WithPeerLink(link PeerLink) Option {
	return func(e *Entry) { e.peerLink = link }
}

// WithUpstreamDial replaces the function that connects to upstreams, for tests.
func WithUpstreamDial(dial func(addr string) (net.Conn, error)) Option {
	return func(e *Entry) { e.upstreamOptions = append(e.upstreamOptions, jayupstream.WithDial(dial)) }
}

// New returns an entry whose duties and listeners are not started yet.
func New(options *jayoptions.Options, platform Platform, logger logr.Logger, more ...Option) (*Entry, error) {
	if options.Entry == "" {
		options.Entry = options.DataCenter + "-" + uuid.NewString()[:8]
	}
	keys, err := jaypeer.LoadTLSConfig(options.PeerCertFile, options.PeerKeyFile, options.PeerAuthorityFile)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		options: options,
		base:    logger,
		logger:  logger.WithName("entry"),
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
	e.store = NewStore(o.Entry, platform, o.SnapshotEvery, e.base.WithName("state"))
	e.claimLog = newClaimLog(platform, e.base.WithName("claims"))
	if e.peerLink == nil {
		e.peerLink = jaypeer.NewClient(o.Entry, time.Duration(o.PeerTimeout), e.keys)
	}
	e.members = NewMembership(o.Entry, e.peerLink, e.store, time.Duration(o.HeartbeatEvery), e.base.WithName("peers"))
	e.claimer = jayclaim.NewClaimer(o.Entry, jayclaim.Options{
		Window:      time.Duration(o.ClaimWindow),
		Copies:      o.ClaimCopies,
		LogTimeout:  time.Duration(o.ClaimLogTimeout),
		StoredBytes: o.StoredAnswerBytes,
		LogAge:      func() time.Duration { return e.claimFollower.Age() },
	}, e.claimLog, e.members, e.base.WithName("claims"))
	e.claimLog.claimer = e.claimer
	e.stateFollower = jaylog.NewFollower(platform, StateStream, e.store, e.base.WithName("state"))
	e.claimFollower = jaylog.NewFollower(platform, ClaimStream, e.claimLog, e.base.WithName("claims"))
	e.peers = jaypeer.NewServer(o.Entry, time.Duration(o.PeerTimeout), e.handlePeer)
}

// claimsFresh reports whether the claim stream was read recently, that is within
// two poll intervals of its follower. If not, the log is considered down.
func (e *Entry) claimsFresh() bool {
	return e.claimFollower.Age() < 2*time.Second
}

func (e *Entry) assembleServing() {
	o := e.options
	e.upstream = jayupstream.NewClient(time.Duration(o.UpstreamIdle), time.Duration(o.DialTimeout), o.BufferBytes, e.upstreamOptions...)
	e.router = NewRouter(o.Entry, e.store, e.members, e.upstream, o.QueuePerPool, e.base.WithName("router"))
	e.members.routedOffset = e.router.Offset
	e.server = jayserve.NewServer(jayserve.Options{
		CallerHeader: o.CallerHeader,
		QueueTime:    time.Duration(o.QueueTime),
		Timeout:      time.Duration(o.RequestTimeout),
		RetryShare:   o.RetryShare,
	}, e, e.claimer, e.upstream, e.metrics, e.base.WithName("serve"))
	e.edge = jayedge.NewEdge(jayedge.Options{
		Addr:            o.CallerAddr,
		EventLoops:      o.EventLoops,
		MaxRequestBytes: o.MaxRequestBytes,
		MaxConns:        o.MaxCallerConns,
		Idle:            time.Duration(o.CallerIdle),
		Write:           time.Duration(o.RequestTimeout),
	}, e.server.Handle, e.base.WithName("edge"))
	e.api = jayapi.NewServer(e, o.OperatorToken, e.metrics.Registry)
	e.planner = newPlannerDuty(e)
}

// Start opens the listeners and starts the background duties.
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
		e.members.Run(ctx, e.stateFollower.Age, e.notePeerLeaving)
	})
	e.duties.Go(func() { e.maintainMembership(ctx) })
	e.duties.Go(func() { e.syncClaims(ctx) })
	e.duties.Go(func() { e.planner.run(ctx) })
	e.duties.Go(func() { e.appendSnapshots(ctx) })
}

// followState loads the newest snapshot, or the state of a peer if the log is
// down, and then follows the state stream.
func (e *Entry) followState(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.store.LoadFromLog()
		if err == nil || e.adoptFromPeers() {
			break
		}
		e.logger.Info("initial state not loaded; retrying", "error", err.Error())
		jayclock.Sleep(ctx, readRetryDelay)
	}
	e.stateFollower.Run(ctx)
}

// adoptFromPeers requests the state from the peers named in the settings, because
// this entry knows no members yet. It reports whether a state was adopted.
func (e *Entry) adoptFromPeers() bool {
	for _, addr := range e.options.PeerSeeds {
		response, err := e.peerLink.Ask("", addr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_FetchState{FetchState: &jaywire.FetchState{}}})
		if err != nil || response.GetSnapshot() == nil {
			continue
		}
		adopted, err := e.store.Adopt(response.GetSnapshot())
		if err != nil {
			e.logger.Info("state snapshot from peer rejected", "peer", addr, "error", err.Error())
			continue
		}
		if adopted {
			e.logger.Info("state adopted from peer", "peer", addr)
			return true
		}
	}
	return false
}

// joinInterval is the delay between two checks of this entry's membership.
const joinInterval = 500 * time.Millisecond

// maintainMembership proposes to join until the state lists this entry as a
// member, and again if another entry has removed it as ended. On each check it
// also divides the claim append rate by the current number of members.
func (e *Entry) maintainMembership(ctx context.Context) {
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
				e.logger.V(1).Info("join not confirmed; retrying", "error", err.Error())
			}
		}
		jayclock.Sleep(ctx, joinInterval)
	}
}

func (e *Entry) isMember() bool {
	member := false
	e.store.Read(func(s *jaystate.State) { _, member = s.Member(e.options.Entry) })
	return member
}
