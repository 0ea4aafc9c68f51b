package jayentry

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"jaythread/jaypeer"
	"jaythread/jayplatform"
	"jaythread/jaystandin"
	"jaythread/jayupstream"
	"jaythread/jaywire"
)

// BenchmarkCapacityView measures the time to rebuild the routing view after a
// change, by fleet size, with 24 entries.
func BenchmarkCapacityView(b *testing.B) {
	for _, workers := range []int{50, 500, 5600} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			r := largeRouter(b, workers)
			for b.Loop() {
				r.rebuild()
			}
		})
	}
}

func largeRouter(b *testing.B, workers int) *Router {
	b.Helper()
	store := NewStore("entry-0", jaystandin.NewLogService(), 1000, logr.Discard())
	link := jaypeer.NewClient("entry-0", time.Second, nil)
	members := NewMembership("entry-0", link, store, time.Second, logr.Discard())
	upstream := jayupstream.NewClient(time.Second, time.Second, 1000)
	r := NewRouter("entry-0", store, members, upstream, 100, logr.Discard())
	var commands []*jaywire.Command
	commands = append(commands, publishCommand(0, largeDocument()))
	for n := range 24 {
		commands = append(commands, &jaywire.Command{Body: &jaywire.Command_JoinEntry{JoinEntry: &jaywire.JoinEntry{Entry: fmt.Sprint("entry-", n)}}})
	}
	var list []jayplatform.Instance
	for n := range workers {
		id := fmt.Sprintf("p%02d-%05d", n%34, n)
		commands = append(commands, &jaywire.Command{Body: &jaywire.Command_AttachInstance{AttachInstance: &jaywire.AttachInstance{
			Instance: id, Pool: fmt.Sprintf("p%02d", n%34), Rack: fmt.Sprint(n / 40), DataCenter: fmt.Sprint(n % 10),
		}}})
		list = append(list, jayplatform.Instance{ID: id, Kind: jayplatform.Worker, State: jayplatform.Live, Addr: fmt.Sprint("addr", n)})
	}
	record, err := proto.Marshal(&jaywire.Batch{Commands: commands})
	if err != nil {
		b.Fatal(err)
	}
	store.Apply(jayplatform.Page{Next: 1, Records: []jayplatform.Record{{Data: record}}}, time.Now(), true)
	r.applyInstances(list)
	return r
}

func largeDocument() string {
	document := `{"pools":[`
	for p := range 34 {
		if p > 0 {
			document += ","
		}
		document += fmt.Sprintf(`{"name":"p%02d","instances":["p%02d-*"],"minAvailable":1}`, p, p)
	}
	return document + `]}`
}
