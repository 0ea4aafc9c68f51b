package jaynode

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"jaythread/jaycatalog"
	"jaythread/jayclock"
	"jaythread/jayhome"
	"jaythread/jaymember"
	"jaythread/jaymetric"
	"jaythread/jayowner"
	"jaythread/jaypace"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jayrelay"
	"jaythread/jaystop"
	"jaythread/jaytail"
	"jaythread/jaywire"
)

// Topics of the job service in the platform's store.
const (
	// topicJobs holds the declarations of submitted jobs, one key per job, in the
	// partition of the job's pool. Every entry appends to it.
	topicJobs = "jobs"
	// topicProgress holds the progress of each job. Only the owner of the job's pool
	// appends to it.
	topicProgress = "progress"
)

// Ports are the interfaces to the platform that an entry uses.
type Ports struct {
	Store     jayport.Store
	Workers   jayport.Workers
	Inventory jayport.Inventory
	Advisor   jayport.Advisor
	Formats   jayport.Formats
	// Arrivals records which answers of Store are arriving. Nil means that this is not known.
	Arrivals *jayport.Arrivals
}

// Node is an entry, one server of the job service.
type Node struct {
	settings Settings
	ports    Ports
	// store calls the platform's store, through peers if it cannot be reached directly.
	store      *jayrelay.Store
	relayPeers *relayPeers
	// relayServer makes calls to the store for peers, and sharedReads are this entry's reads
	// through others.
	relayServer *jayrelay.Server
	sharedReads *jayrelay.SharedReads
	readerPeers *readerPeers
	// pace limits the reads of all entries to the store's rate.
	pace        *jaypace.Pace
	clock       jayclock.Clock
	logger      logr.Logger
	metrics     *jaymetric.JobMetrics
	incarnation string
	started     time.Time
	// startedAt is the same moment on the node's clock.
	startedAt time.Duration

	declarations *declarations
	homes        *jayhome.Register
	heartbeats   *workerHeartbeats
	members      *jaymember.Members
	intake       *intake
	peers        *jaypeer.Client
	peerServer   *jaypeer.Server

	mu    sync.Mutex
	pools map[string]*poolDuty
	fleet *fleetDuty
	// ended holds the fence of the latest claim under which each duty has ended by itself.
	ended map[jayowner.Duty]int64

	stopping atomic.Bool
	// cut is made when the requests in progress are to be answered at once.
	cut    *jaystop.Cut
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// Option configures a node.
type Option func(*Node)

// WithClock replaces the boot clock in tests.
func WithClock(clock jayclock.Clock) Option {
	return func(n *Node) { n.clock = clock }
}

// WithMetrics sets the metrics that the node updates.
func WithMetrics(m *jaymetric.JobMetrics) Option {
	return func(n *Node) { n.metrics = m }
}

const (
	// peerTimeout limits the duration of a request to a peer.
	peerTimeout = 700 * time.Millisecond
	// declarationsWait is how long a read of the operators' declarations waits for a new
	// record. A record ends the wait at once; a connection that no longer answers is
	// noticed only when the wait is over.
	declarationsWait = time.Second
	// declarationsMaxTimeout is the maximum timeout of a read of the declarations, which all
	// entries read at the same time.
	declarationsMaxTimeout = 2100 * time.Millisecond
	// declarationsShare and confirmShare are the shares of the store's rate that all entries
	// may use to read changes of the declarations that follow each other, and to confirm
	// them on behalf of callers.
	declarationsShare = 0.25
	confirmShare      = 0.25
	// heartbeatsReadDelay is the delay between two reads of the workers' heartbeats. A
	// draining worker still gets tasks until its heartbeat is read.
	heartbeatsReadDelay = 300 * time.Millisecond
)

// New returns a node; Start starts it.
func New(settings Settings, ports Ports, logger logr.Logger, options ...Option) *Node {
	n := &Node{
		settings:    settings,
		ports:       ports,
		clock:       jayclock.Boot,
		logger:      logger,
		metrics:     jaymetric.NewJobMetrics(),
		incarnation: jaymember.NewIncarnation(settings.Entry),
		started:     time.Now(),
		pools:       map[string]*poolDuty{},
		ended:       map[jayowner.Duty]int64{},
		cut:         jaystop.NewCut(),
		homes:       jayhome.NewRegister(),
	}
	for _, option := range options {
		option(n)
	}
	if n.ports.Arrivals == nil {
		n.ports.Arrivals = jayport.NewArrivals()
	}
	n.startedAt = n.clock()
	n.logger = n.logger.WithValues("entry", settings.Entry)
	n.ports = metered(n.ports, n.metrics, n.clock)
	n.relayPeers = &relayPeers{node: n, link: jaypeer.NewClient(n.incarnation, relayTimeout, nil)}
	n.pace = jaypace.New(settings.StoreReadRate, func() int { return n.members.Entries.Count() })
	n.store = jayrelay.New(n.ports.Store, n.relayPeers, n.clock, n.logger.WithName("store"), jayrelay.WithPace(n.pace), jayrelay.WithArrivals(n.ports.Arrivals))
	n.relayServer = jayrelay.NewServer(n.ports.Store, n.clock, jayrelay.WithLink(settings.LinkMegabits))
	n.readerPeers = newReaderPeers(n)
	n.sharedReads = jayrelay.NewSharedReads(settings.Entry, settings.DataCenter, n.store, n.relayServer, n.readerPeers, n.clock, n.logger.WithName("store"))
	n.peers = jaypeer.NewClient(n.incarnation, peerTimeout, nil)
	n.peerServer = jaypeer.NewServer(n.incarnation, peerTimeout, n.handlePeer)
	n.declarations = newDeclarations(n)
	n.heartbeats = newWorkerHeartbeats(n)
	n.members = newMembers(n)
	n.intake = newIntake(n)
	n.registerGauges()
	return n
}

// Start listens for peers and starts the node's goroutines.
func (n *Node) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp4", n.settings.PeerAddr)
	if err != nil {
		return err
	}
	ctx, n.cancel = context.WithCancel(ctx)
	n.logger.Info("started", "incarnation", n.incarnation)
	n.duties.Go(func() { n.peerServer.Serve(listener, nil) })
	n.duties.Go(func() { n.declarations.tail.Run(ctx) })
	n.duties.Go(func() { n.declarations.confirmer.run(ctx) })
	n.follow(ctx, n.ports.Formats.Heartbeats(), jaytail.Options{Pause: heartbeatsReadDelay, Needed: n.ownsAnyDuty, Urgent: n.lacksRoom}, n.heartbeats)
	n.members.Start(ctx)
	n.intake.start(ctx)
	return nil
}

func (n *Node) newTail(p jayport.Partition, options jaytail.Options, handler jaytail.Handler) *jaytail.Tail {
	return jaytail.New(n.store, p, options, handler, n.clock, n.logger.WithName(p.Topic))
}

// follow passes the records of a partition to a handler until the context ends.
func (n *Node) follow(ctx context.Context, p jayport.Partition, options jaytail.Options, handler jaytail.Handler) {
	tail := n.newTail(p, options, handler)
	n.duties.Go(func() { tail.Run(ctx) })
}

// Leave releases all duties of this entry, without waiting for the store. The entry performs each
// of them until another one has claimed it, and still answers callers.
func (n *Node) Leave() {
	n.stopping.Store(true)
	n.logger.Info("leaving")
	n.duties.Go(n.members.Owners.Release)
}

// StopTimeout is how long Stop waits for pending calls. Reads of the store can wait for
// records for seconds, and their results are not needed any more.
const StopTimeout = 300 * time.Millisecond

// Stop ends all duties and closes all connections. It returns after StopTimeout at the latest, and
// logs what it has waited for in vain.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.endDuties()
	n.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	ended := jaystop.Run(ctx, n.logger,
		jaystop.Stage{Name: "requests of peers", Run: n.peerServer.Close, Pending: n.peerServer.Pending},
		jaystop.Stage{Name: "connections to peers", Run: n.closeLinks},
		jaystop.Stage{Name: "calls of duties", Run: n.duties.Wait},
	)
	if ended {
		n.logger.Info("stopped")
		return
	}
	n.logger.Info("stopped while calls were pending")
}

// closeLinks closes the connections to peers.
func (n *Node) closeLinks() {
	n.peers.Close()
	n.relayPeers.link.Close()
	n.readerPeers.link.Close()
	n.intake.link.Close()
	n.members.Close()
}

// Catalog returns the catalog in force, or nil if none has been read yet.
func (n *Node) Catalog() *jaycatalog.Catalog {
	return n.declarations.catalog.Load()
}

// Ready reports whether the entry can serve callers.
func (n *Node) Ready() bool {
	return n.Catalog() != nil && n.members.Owners.Known() && !n.stopping.Load()
}

// ownedPool returns the duty of a pool, or nil if this entry does not own the pool.
func (n *Node) ownedPool(pool string) *poolDuty {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pools[pool]
}

// lacksRoom reports whether tasks of a pool that this entry owns wait for free capacity.
// New workers are then needed at once.
func (n *Node) lacksRoom() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, duty := range n.pools {
		if duty.lacksRoom.Load() {
			return true
		}
	}
	return false
}

// ownsAnyDuty reports whether this entry owns any duty.
func (n *Node) ownsAnyDuty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pools) > 0 || n.fleet != nil
}

// handlePeer answers a request from a peer.
func (n *Node) handlePeer(request *jaywire.PeerRequest) *jaywire.PeerResponse {
	switch body := request.Body.(type) {
	case *jaywire.PeerRequest_AskJob:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Job{Job: n.askOwned(body.AskJob)}}
	case *jaywire.PeerRequest_CancelJob:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Job{Job: n.cancelOwned(body.CancelJob)}}
	case *jaywire.PeerRequest_AskPending:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Pending{Pending: n.pendingOwned(body.AskPending)}}
	case *jaywire.PeerRequest_AskHoldings:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Holdings{Holdings: n.holdingsOwned(body.AskHoldings)}}
	case *jaywire.PeerRequest_StoreJob:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_JobStored{JobStored: n.intake.storeFor(body.StoreJob)}}
	case *jaywire.PeerRequest_AskDemand:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Demand{Demand: n.demandOwned(body.AskDemand)}}
	case *jaywire.PeerRequest_StoreCall:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_StoreResult{StoreResult: n.relayServer.Serve(body.StoreCall)}}
	case *jaywire.PeerRequest_Announce:
		taken := !n.stopping.Load() && n.members.Announcer.Take(body.Announce)
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Announced{Announced: &jaywire.EntryAnnounced{Taken: taken}}}
	case *jaywire.PeerRequest_Ping:
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_Pong{Pong: &jaywire.Pong{Stopping: n.stopping.Load(), ClockMicros: n.clock().Microseconds()}}}
	default:
		return &jaywire.PeerResponse{}
	}
}
