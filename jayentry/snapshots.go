package jayentry

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// appendSnapshots appends the snapshots that are due. Only the entry that holds
// the planner lease creates them, so that one snapshot serves the whole fleet.
func (e *Entry) appendSnapshots(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.store.snapshotDue.Ready():
		}
		snapshot, ok := e.store.snapshotDue.Take()
		if !ok {
			continue
		}
		record, err := proto.Marshal(snapshot)
		if err == nil {
			_, err = e.store.log.Append(SnapshotStream, record)
		}
		if err != nil {
			e.logger.Info("snapshot not appended", "error", err.Error())
		}
	}
}
