package jaynode

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jaywire"
)

func TestDecodeJobRejectsInvalidDeclarations(t *testing.T) {
	// Guards against a crash of every owner that takes a pool over. Stored records were
	// trusted to be written by this program; one that declares billions of tasks, or a
	// step that depends on a step that does not exist, must be rejected by decodeJob.
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
