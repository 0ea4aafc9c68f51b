package jayrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaythread/jayport"
	"jaythread/jaywire"
)

// followersPerReader is the number of entries of a data centre for which one of them reads the
// store. In a data centre with fewer entries, each reads for itself.
const followersPerReader = 32

// Member is an entry that may read the store for others.
type Member struct {
	Name       string
	DataCenter string
	Capacity   int64
}

// Readers returns the names of the entries that read the store for those of a data centre: one
// for each followersPerReader, the strongest ones. All entries that know the same members choose
// the same readers.
//
// It handles this load: every entry waits for changes of the claims, the announcements and the
// declarations. If each read them itself, the calls would grow with the entries beyond the
// store's rate, and each record would be sent by the store to all of them.
func Readers(members []Member, dataCenter string) []string {
	var local []Member
	for _, m := range members {
		if m.DataCenter == dataCenter {
			local = append(local, m)
		}
	}
	if len(local) < followersPerReader {
		return nil
	}
	slices.SortFunc(local, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	var readers []string
	for _, m := range local[:(len(local)+followersPerReader-1)/followersPerReader] {
		readers = append(readers, m.Name)
	}
	return readers
}

// ReaderFor returns the reader that an entry should ask, without those that it avoids, or false
// if there is none.
func ReaderFor(entry string, readers []string, avoids func(string) bool) (string, bool) {
	chosen, lowest, found := "", uint64(0), false
	for _, r := range readers {
		if avoids(r) {
			continue
		}
		if score := xxhash.Sum64String(entry + "\x00" + r); !found || score < lowest {
			chosen, lowest, found = r, score, true
		}
	}
	return chosen, found
}

// SharedReadCall returns the call by which a peer reads the records from an offset on for several
// entries, waiting for up to waitMillis.
func SharedReadCall(p jayport.Partition, from, waitMillis, timeoutMillis int64) *jaywire.StoreCall {
	return &jaywire.StoreCall{
		Topic: p.Topic, Partition: uint32(p.Number), TimeoutMillis: timeoutMillis,
		Call: &jaywire.StoreCall_Read{Read: &jaywire.StoreRead{From: from, WaitMillis: waitMillis, Shared: true}},
	}
}

// PageOf decodes the result of a read.
func PageOf(result *jaywire.StoreResult) jayport.Page {
	return jayport.Page{Records: recordsOf(result.Records), Next: result.Next, End: result.End}
}
