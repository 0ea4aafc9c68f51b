package jaynode

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"jaythread/jayclock"
	"jaythread/jayowner"
	"jaythread/jaypool"
	"jaythread/jayport"
	"jaythread/jaysched"
	"jaythread/jayspec"
	"jaythread/jaywire"
)

// countingStore counts the bytes that are read.
type countingStore struct {
	jayport.Store
	read int
}

// Latest returns the newest record of each key.
func (c *countingStore) Latest(p jayport.Partition, after string, timeout time.Duration) (jayport.Latest, error) {
	page, err := c.Store.Latest(p, after, timeout)
	for _, r := range page.Records {
		c.read += len(r.Key) + len(r.Value)
	}
	return page, err
}

// BenchmarkTakeover takes over a pool with 1,000 open and 2,000 ended jobs, with the declarations of the ended
// ones in the store or without. The tests' store answers at once.
func BenchmarkTakeover(b *testing.B) {
	const open, ended, specBytes = 1000, 2000, 1000
	job := &jayspec.Job{
		Queue: "q", Pool: "seats", Text: strings.Repeat("x", specBytes), Accepted: time.Now(),
		Steps: []jayspec.Step{
			{Tasks: 4, Need: jaypool.Resources{ProcessorsMilli: 500, MemoryMegabytes: 100}, Estimate: time.Second},
			{Tasks: 1, After: []int{0}, Need: jaypool.Resources{ProcessorsMilli: 500, MemoryMegabytes: 100}, Estimate: time.Second},
		},
	}
	declaration, err := encodeJob(job)
	if err != nil {
		b.Fatal(err)
	}
	outcome, err := proto.Marshal(&jaywire.JobProgress{Outcome: jaywire.JobOutcome(jaysched.Done), EndedUnixMillis: time.Now().UnixMilli()})
	if err != nil {
		b.Fatal(err)
	}
	for _, declared := range []bool{true, false} {
		b.Run(fmt.Sprintf("declared=%v", declared), func(b *testing.B) {
			clock := jayclock.Since(time.Now().Add(-time.Hour))
			store := newSharedStore()
			jobs, progress := jayport.Append{Partition: jayport.Partition{Topic: topicJobs}, AsOf: jayport.AnyOffset}, jayport.Append{Partition: jayport.Partition{Topic: topicProgress}, AsOf: jayport.AnyOffset}
			for n := range open + ended {
				key := jobKey("seats", fmt.Sprintf("%016x", n))
				if n < open || declared {
					jobs.Records = append(jobs.Records, jayport.Record{Key: key, Value: declaration})
				}
				if n >= open {
					progress.Records = append(progress.Records, jayport.Record{Key: key, Value: outcome})
				}
			}
			for _, a := range []jayport.Append{jobs, progress} {
				if _, err := store.append(a); err != nil {
					b.Fatal(err)
				}
			}
			counted := &countingStore{Store: &faultyStore{store: store}}
			logger := zerolog.New(io.Discard).With().Timestamp().Logger()
			n := New(Settings{Entry: "e1", MaxLease: 10 * time.Second}, Ports{Store: counted, Formats: testFormats{}}, zerologr.New(&logger), WithClock(clock))
			for fence := int64(1); b.Loop(); fence++ {
				d := newPoolDuty(n, "seats", jayowner.Claim{Duty: jayowner.PoolDuty("seats"), Fence: fence, Term: 1, Incarnation: n.incarnation, Entry: "e1"})
				if !d.takeOver() {
					b.Fatal("not taken over")
				}
				d.cancel()
			}
			n.duties.Wait()
			b.ReportMetric(float64(counted.read)/float64(b.N), "readBytes/op")
		})
	}
}
