package jaynode

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

const testID = "5c0e7a21d94b36f8"

// storedJob returns an encoded declaration with two steps.
func storedJob(t testing.TB) []byte {
	t.Helper()
	value, err := encodeJob(&jayspec.Job{
		ID: testID, Queue: "q", Pool: "seats", Text: "text", Accepted: time.UnixMilli(1),
		Steps: []jayspec.Step{
			{Tasks: 2, Need: jaypool.Resources{ProcessorsMilli: 500, MemoryMegabytes: 100}, Estimate: time.Second},
			{Tasks: 1, After: []int{0}, Need: jaypool.Resources{ProcessorsMilli: 500, MemoryMegabytes: 100}, Estimate: time.Second},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// FuzzStored decodes arbitrary bytes as a job's declaration and progress, as a new owner
// does, and as the other stored records of this program.
func FuzzStored(f *testing.F) {
	progress, err := proto.Marshal(&jaywire.JobProgress{Steps: []*jaywire.StepProgress{{Done: []byte{1}, Tasks: []*jaywire.TaskProgress{{Index: 1, FailedRuns: []int64{3}}}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(storedJob(f), progress)
	f.Add([]byte{}, []byte{})
	f.Add([]byte{0xff, 0xfe}, []byte{0xff})
	f.Fuzz(func(t *testing.T, declared, progressed []byte) {
		pool := jaysched.NewPool("seats", jaysched.Settings{Lease: time.Second})
		record := &jaywire.JobProgress{}
		if proto.Unmarshal(progressed, record) != nil {
			record = nil
		}
		if job, err := decodeJob("seats", testID, declared); err == nil {
			pool.Restore(job, record, time.Second)
			pool.Decide(time.Second)
			pool.Demand(time.Second)
			pool.TakeBatch()
		}
		pool.RestoreEnded("other", "", jaysched.OutcomeOf(record), time.Second)
		pool.StateOf("other")
		_ = jayowner.NewTable().Apply(jayport.Record{Key: "fleet", Value: declared})
		c := newFleetCollector(logr.Discard())
		c.Apply(jayport.Record{Key: waveKeys + "1", Value: progressed})
		c.Apply(jayport.Record{Key: hostKeys + "m1", Value: progressed})
	})
}

func TestUnreadableProgressBlocksOneJobOnly(t *testing.T) {
	// Guards against a pool that cannot be taken over because the progress record of one
	// job cannot be decoded: the new owner read the records again and again, and no job
	// of the pool ran.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := jayclock.Since(time.Now().Add(-time.Hour))
		store := newSharedStore()
		e := newTestEntry(t, "e1", store, newSharedHosts(clock, nil), clock)
		const other = "00000000000000ff"
		for _, id := range []string{testID, other} {
			_, err := store.append(jayport.Append{Partition: jayport.Partition{Topic: topicJobs}, Records: []jayport.Record{{Key: jobKey("seats", id), Value: storedJob(t)}}, AsOf: jayport.AnyOffset})
			is.NoErr(err)
		}
		_, err := store.append(jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, Records: []jayport.Record{{Key: jobKey("seats", testID), Value: []byte{0xff}}}, AsOf: jayport.AnyOffset})
		is.NoErr(err)
		duty := newPoolDuty(e.node, "seats", e.claim(jayowner.PoolDuty("seats"), 6, 1))
		is.True(duty.takeOver())
		duty.cancel()
		is.Equal(duty.pool.Pending("q", ""), 1) // the other job is pending, this one is blocked
		state, known := duty.pool.StateOf(testID)
		is.True(known)
		is.Equal(state, jaysched.Queued)
		e.node.duties.Wait()
	})
}

// heartbeatFormats fails to decode heartbeats with the value "bad".
type heartbeatFormats struct{ testFormats }

// DecodeHeartbeat decodes a heartbeat; its value is the worker's pool.
func (heartbeatFormats) DecodeHeartbeat(r jayport.Record) (jayport.Worker, error) {
	if string(r.Value) == "bad" {
		return jayport.Worker{}, errors.New("no worker")
	}
	return jayport.Worker{ID: r.Key, Pool: string(r.Value)}, nil
}

func TestUnreadableHeartbeatRemovesWorker(t *testing.T) {
	// Guards against starting runs on a worker whose heartbeat was overwritten with bytes
	// that cannot be decoded: the previous heartbeat was kept.
	is := is.New(t)
	changed := map[string]int{}
	n := New(Settings{Entry: "e1"}, Ports{Formats: heartbeatFormats{}}, logr.Discard())
	r := n.heartbeats
	r.poolChanged = func(pool string) { changed[pool]++ }
	for _, key := range []string{"i-1", "i-2"} {
		r.Apply(jayport.Record{Key: key, Value: []byte("seats")})
	}
	r.CaughtUp(time.Second)
	r.Apply(jayport.Record{Key: "i-1", Value: []byte("bad")})
	r.Apply(jayport.Record{Key: "i-3", Value: []byte("bad")})
	r.CaughtUp(2 * time.Second)
	workers, _ := r.of("seats")
	is.Equal(len(workers), 1)
	is.Equal(workers[0].ID, "i-2")
	is.Equal(changed["seats"], 2)
	r.Apply(jayport.Record{Key: "i-1", Value: []byte("seats")})
	workers, _ = r.of("seats")
	is.Equal(len(workers), 2)
	is.True(!r.unreadable["i-1"])
	for n := range 2 * maxUnreadable {
		r.Apply(jayport.Record{Key: string(rune(n + 1000)), Value: []byte("bad")})
	}
	is.True(len(r.unreadable) <= maxUnreadable)
}

// TestOlderHeartbeatsAreIgnored guards against going back to a former incarnation of a
// worker: a reload and the reads after it can return the same records twice.
func TestOlderHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Entry: "e1"}, Ports{Formats: heartbeatFormats{}}, logr.Discard())
	r := n.heartbeats
	r.poolChanged = func(string) {}
	r.Apply(jayport.Record{Key: "i-1", Value: []byte("seats"), Offset: 7})
	r.Apply(jayport.Record{Key: "i-1", Value: []byte("fees"), Offset: 6})
	workers, _ := r.of("seats")
	is.Equal(len(workers), 1)
	r.Reset()
	r.Apply(jayport.Record{Key: "i-1", Value: []byte("fees"), Offset: 6})
	r.Apply(jayport.Record{Key: "i-1", Value: []byte("seats"), Offset: 7})
	workers, _ = r.of("seats")
	is.Equal(len(workers), 1)
	workers, _ = r.of("fees")
	is.Equal(len(workers), 0)
	for n := range 2 * maxOffsets {
		r.Apply(jayport.Record{Key: string(rune(n + 1000)), Offset: int64(n + 10)})
	}
	r.CaughtUp(time.Second)
	is.True(len(r.offsets) <= maxOffsets)
	is.Equal(r.offsets["i-1"], int64(7))
}
