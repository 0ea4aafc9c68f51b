package jaynode

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jaywire"
)

func TestStoredJobsAreChecked(t *testing.T) {
	// Symptom: an owner ends while it takes a pool over, and each next one too.
	// Sequence: a record asks for four thousand million tasks, or has a step that
	// waits for one that does not exist.
	// Cause: what stands in the store was taken for what this program had written.
	is := is.New(t)
	_, err := decodeJob("seats", testID, storedJob(t))
	is.NoErr(err)
	for _, spoil := range []func(*jaywire.JobDeclaration){
		func(d *jaywire.JobDeclaration) { d.Steps[0].Tasks = 4_000_000_000 },
		func(d *jaywire.JobDeclaration) { d.Occurrences = 4_000_000_000 },
		func(d *jaywire.JobDeclaration) { d.Steps[1].After = []uint32{7} },
		func(d *jaywire.JobDeclaration) { d.Steps = nil },
	} {
		record := &jaywire.JobDeclaration{}
		is.NoErr(proto.Unmarshal(storedJob(t), record))
		spoil(record)
		value, err := proto.Marshal(record)
		is.NoErr(err)
		_, err = decodeJob("seats", testID, value)
		is.True(err != nil)
	}
}
