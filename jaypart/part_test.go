package jaypart

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jaywire"
)

func ExampleID() {
	fmt.Println(ID("5c0e7a21d94b36f8", 0), ID("5c0e7a21d94b36f8", 2))
	// Output: 5c0e7a21d94b36f8 5c0e7a21d94b36f8#2
}

// saved returns the progress of a job with steps of tasks that have saved.
func saved(steps, tasks int) *jaywire.JobProgress {
	p := &jaywire.JobProgress{Started: true, NextOccurrence: 3, OpenOccurrences: []uint32{1, 2}}
	for s := range steps {
		step := &jaywire.StepProgress{Step: uint32(s), Done: []byte{1}}
		for n := range tasks {
			step.Tasks = append(step.Tasks, &jaywire.TaskProgress{Index: uint32(n), Checkpoint: "00000bb87a21d94b", LastRun: 20_001})
		}
		p.Steps = append(p.Steps, step)
	}
	return p
}

// TestProgressOfWideJobsFitsTheStore guards against a pool without an owner: the record of a job with many tasks that
// have saved was larger than the store accepts.
func TestProgressOfWideJobsFitsTheStore(t *testing.T) {
	for _, c := range []struct{ steps, tasks int }{{1, 10}, {1, 10_000}, {3, 4000}, {2000, 5}} {
		t.Run(fmt.Sprintf("%d steps of %d tasks", c.steps, c.tasks), func(t *testing.T) {
			is := is.New(t)
			want := saved(c.steps, c.tasks)
			parts := map[int]*jaywire.JobProgress{}
			records := Split(want, MaxBytes)
			for n, r := range records {
				is.True(proto.Size(r) <= 2*MaxBytes)
				parts[n] = r
				job, part := ParseID(ID("5c0e7a21d94b36f8", n))
				is.Equal(job, "5c0e7a21d94b36f8")
				is.Equal(part, n)
			}
			is.Equal(int(records[0].Parts), len(records)-1)
			got := proto.CloneOf(records[0])
			is.True(Join(got, parts))
			got.Parts = 0
			is.True(proto.Equal(got, want))
			if len(records) > 1 {
				delete(parts, 1)
				is.True(!Join(proto.CloneOf(records[0]), parts))
			}
		})
	}
}
