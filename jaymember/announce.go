package jaymember

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypace"
	"jaythread/jaypeer"
	"jaythread/jayport"
	"jaythread/jayring"
	"jaythread/jaywire"
)

const (
	// announceInterval is the time between two appends of the announcements that an owner
	// stores for others.
	announceInterval = 50 * time.Millisecond
	// announceBatch is the number of announcements in one append. A record takes about 150
	// bytes.
	announceBatch = 500
	// announceInbox limits the announcements that wait for the next append.
	announceInbox = 1024
	// handOverDelay is the time after which an announcement that an owner has taken, but that
	// was not read since, is made again.
	handOverDelay = 1200 * time.Millisecond
	// assumedLatency is the least time that an append is taken to last. The store's latency is
	// not known before the first append.
	assumedLatency = 10 * time.Millisecond
	// ownersPollInterval is the time between two checks whether an owner is known.
	ownersPollInterval = 100 * time.Millisecond
	// announceRetryDelay is the delay before a failed append of an announcement is repeated for
	// the first time. It is doubled each time, up to maxAnnounceDelay.
	announceRetryDelay = 300 * time.Millisecond
	maxAnnounceDelay   = 9600 * time.Millisecond
)

// Announcer makes this entry known to the others, and stores the announcements of others while
// it owns a duty.
//
// It handles this load: hundreds of entries start at once. If each appended its own announcement,
// the appends, which a partition takes one after the other, would time out and be repeated, and
// reads of the partition would time out behind them. So owners append those of many entries
// together, and only entries that find no owner append their own, the strongest first.
type Announcer struct {
	members *Members
	logger  logr.Logger
	link    *jaypeer.Client
	inbox   *jayring.Ring[*jaywire.EntryRecord]
}

func newAnnouncer(m *Members) *Announcer {
	return &Announcer{
		members: m,
		logger:  m.Logger.WithName("entries"),
		link:    jaypeer.NewClient(m.Incarnation, pingTimeout, nil),
		inbox:   jayring.New[*jaywire.EntryRecord](announceInbox),
	}
}

// Take accepts the announcement of another entry. It returns false if too many wait.
func (a *Announcer) Take(record *jaywire.EntryRecord) bool {
	return a.inbox.Offer(record)
}

// store appends the announcements of other entries until the context ends.
func (a *Announcer) store(ctx context.Context) {
	full := false
	for ctx.Err() == nil {
		if !full {
			select {
			case <-ctx.Done():
				return
			case <-a.inbox.Ready():
			}
		}
		jayclock.Sleep(ctx, announceInterval)
		records := a.takeRecords()
		full = len(records) == announceBatch
		for len(records) > 0 && ctx.Err() == nil && !a.append(records) {
			jayclock.Sleep(ctx, jaypace.Jitter(announceRetryDelay))
		}
	}
}

// takeRecords returns the records of waiting announcements, up to announceBatch.
func (a *Announcer) takeRecords() []jayport.Record {
	var records []jayport.Record
	for len(records) < announceBatch {
		announcement, ok := a.inbox.Take()
		if !ok {
			break
		}
		r, err := announcementRecord(EntryOf(announcement.Incarnation), announcement)
		if err != nil {
			a.logger.Error(err, "announcement cannot be encoded", "entry", announcement.Incarnation)
			continue
		}
		records = append(records, r)
	}
	return records
}

func announcementRecord(entry string, announcement *jaywire.EntryRecord) (jayport.Record, error) {
	value, err := proto.Marshal(announcement)
	return jayport.Record{Key: entry, Value: value}, err
}

// append appends announcements and reports whether the store has accepted them.
func (a *Announcer) append(records []jayport.Record) bool {
	_, err := a.members.Store.Append(jayport.Append{
		Partition: a.members.Formats.Own(topicEntries, 0),
		Records:   records,
		AsOf:      jayport.AnyOffset,
	}, jayport.CallTimeout)
	if err != nil {
		a.logger.Info("announcing failed; retrying", "entries", len(records), "error", err.Error())
	}
	return err == nil
}

// announce announces this entry until its announcement is read: one without an answer may still
// be stored.
func (a *Announcer) announce(ctx context.Context) {
	m := a.members
	announcement := &jaywire.EntryRecord{
		Incarnation:       m.Incarnation,
		PeerAddr:          m.PeerAddr,
		DataCenter:        m.DataCenter,
		ProcessorsMilli:   m.ProcessorsMilli,
		LinkMegabits:      m.LinkMegabits,
		StartedUnixMillis: m.Started.UnixMilli(),
	}
	record, err := announcementRecord(m.Entry, announcement)
	if err != nil {
		a.logger.Error(err, "announcement cannot be encoded")
		return
	}
	retry := announceRetryDelay
	for ctx.Err() == nil && !m.Entries.announced(m.Incarnation) {
		now := m.Clock()
		switch {
		case a.handOver(announcement, now):
			jayclock.Sleep(ctx, jaypace.Jitter(handOverDelay))
		case now < a.appendAt():
			jayclock.Sleep(ctx, min(a.appendAt()-now, ownersPollInterval))
		case a.append([]jayport.Record{record}):
			return
		default:
			jayclock.Sleep(ctx, jaypace.Jitter(retry))
			retry = min(2*retry, maxAnnounceDelay)
		}
	}
}

// appendAt returns when this entry appends its own announcement if it finds no owner. A restarted
// entry knows from the former announcements how many others may append theirs at the same time.
func (a *Announcer) appendAt() time.Duration {
	m := a.members
	delay := jayowner.ClaimDelay(announceDuty, m.Incarnation, m.capacity(), 0)
	if former, known := m.Entries.Named(m.Entry); known && former.Incarnation != m.Incarnation {
		turn := xxhash.Sum64String(m.Incarnation) % uint64(m.Entries.Count())
		delay = min(delay, time.Duration(turn)*max(m.Store.Latency(), assumedLatency))
	}
	return m.StartedAt + delay
}

// announceDuty stands for the announcement in the order in which entries act without knowing
// each other.
const announceDuty jayowner.Duty = "announce"

// handOver asks the owner of a duty to store the announcement, and reports whether it will.
func (a *Announcer) handOver(announcement *jaywire.EntryRecord, now time.Duration) bool {
	owner, known := a.ownerFor(now)
	if !known {
		return false
	}
	response, err := a.link.Ask(owner.Incarnation, owner.PeerAddr, &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Announce{Announce: announcement}})
	a.members.Liveness.RecordOutcome(owner.Incarnation, err)
	return err == nil && response.GetAnnounced().GetTaken()
}

// ownerFor returns an owner other than this entry that seems to be alive. The entries spread
// over the owners.
func (a *Announcer) ownerFor(now time.Duration) (jayowner.Claim, bool) {
	view := a.members.Owners.View()
	if view == nil {
		return jayowner.Claim{}, false
	}
	var chosen jayowner.Claim
	lowest, found := uint64(0), false
	for _, c := range view.Claims() {
		if c.Released || c.Incarnation == a.members.Incarnation || a.members.Liveness.Suspects(c.Incarnation) || a.members.Liveness.PresumedEnded(c.Incarnation, now) {
			continue
		}
		if score := xxhash.Sum64String(a.members.Entry + "\x00" + c.Incarnation); !found || score < lowest {
			chosen, lowest, found = c, score, true
		}
	}
	return chosen, found
}
