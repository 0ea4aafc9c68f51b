package jaynode

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jaypool"
	"jaythread/jayquota"
	"jaythread/jaywire"
)

func TestQuotaMessageIsDecodedAsItWasEncoded(t *testing.T) {
	is := is.New(t)
	m := jayquota.Message{
		Number: jayquota.Number{Fence: 5, Message: 6}, OwnerFence: 4, All: true,
		Limits: []jayquota.Limit{{Organisation: "acme", Limit: jaypool.Resources{ProcessorsMilli: 1}, Quota: jaypool.Resources{ProcessorsMilli: 2}, Revision: 3}},
	}
	encoded, err := proto.Marshal(encodeQuotaMessage(m))
	is.NoErr(err)
	wire := &jaywire.QuotaMessage{}
	is.NoErr(proto.Unmarshal(encoded, wire))
	is.Equal(decodeQuotaMessage(5, wire), m)
}

func TestQuotaReportIsDecodedAsItWasEncoded(t *testing.T) {
	is := is.New(t)
	r := jayquota.Report{
		OwnerFence: 4, Applied: jayquota.Number{Fence: 5, Message: 6}, All: true,
		Uses: []jayquota.Use{{
			Organisation: "acme", Used: jaypool.Resources{ProcessorsMilli: 1}, Wanted: jaypool.Resources{ProcessorsMilli: 2},
			Largest: jaypool.Resources{ProcessorsMilli: 3}, Task: jaypool.Resources{ProcessorsMilli: 4},
			Limit: jaypool.Resources{ProcessorsMilli: 5}, Quota: jaypool.Resources{ProcessorsMilli: 6},
		}},
	}
	encoded, err := proto.Marshal(encodeQuotaReport(r))
	is.NoErr(err)
	wire := &jaywire.QuotaReport{}
	is.NoErr(proto.Unmarshal(encoded, wire))
	is.Equal(decodeQuotaReport(4, wire), r)
}

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
