package jaynode

import (
	"errors"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"jaythread/jayport"
)

// foreignFormats decodes a heartbeat; its value is the worker's pool, or "odd".
type foreignFormats struct{ testFormats }

// DecodeHeartbeat returns an error for an odd value.
func (foreignFormats) DecodeHeartbeat(r jayport.Record) (jayport.Worker, error) {
	if string(r.Value) == "odd" {
		return jayport.Worker{}, errors.New("odd")
	}
	return jayport.Worker{ID: r.Key, Pool: string(r.Value)}, nil
}

func TestForeignEntryOfTheListOfWorkers(t *testing.T) {
	// Guards against an entry of another program that keeps others from being read or is logged
	// with each heartbeat, and against a worker that stays away after its heartbeat was overwritten.
	is := is.New(t)
	lines := 0
	h := newWorkerHeartbeats(&Node{ports: Ports{Formats: foreignFormats{}}, logger: funcr.New(func(string, string) { lines++ }, funcr.Options{})})
	offset := int64(0)
	apply := func(key, value string) []jayport.Worker {
		h.Apply(jayport.Record{Key: key, Value: []byte(value), Offset: offset})
		offset++
		list, _ := h.of("seats")
		return list
	}
	apply("w0", "seats")
	apply("w1", "seats")
	for range 100 {
		is.Equal(len(apply("foreign", "odd")), 2)
	}
	is.Equal(lines, 1)
	is.Equal(len(apply("w1", "odd")), 1)
	is.Equal(len(apply("w1", "seats")), 2)
	is.Equal(lines, 2)
	is.Equal(len(apply("foreign", "seats")), 3) // a worker takes the ID later
}
