package follower

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

const (
	maxSnapshotAge = 10 * time.Minute
	// maxSnapshotJitter bounds the random delay before this VM appends a
	// snapshot. One entry VM appends first, and the others then need not.
	maxSnapshotJitter = 30 * time.Second
	// maxRecordsSinceSnapshot bounds the records that a new reader has to
	// apply on top of the newest snapshot.
	maxRecordsSinceSnapshot = 5000
)

// snapshotter decides when a snapshot is due.
type snapshotter struct {
	last    time.Time // newest snapshot in the log, by this VM's clock
	records int       // read since then
	due     time.Time // zero if no snapshot is due
}

// observe records a page that was read.
func (sn *snapshotter) observe(now time.Time, pa ml.LogPage) {
	if sn.last.IsZero() {
		sn.last = now
	}
	for _, re := range pa.Records {
		sn.records++
		if re.Kind == folder.KindSnapshot {
			sn.last, sn.records, sn.due = now, 0, time.Time{}
		}
	}
	if sn.due.IsZero() && (now.Sub(sn.last) > maxSnapshotAge || sn.records > maxRecordsSinceSnapshot) {
		sn.due = now.Add(rand.N(maxSnapshotJitter))
	}
}

// DueSnapshot returns the snapshot to append at now, if one is due.
func (fo *Follower) DueSnapshot(now time.Time) (ml.Record, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fl := fo.state.FleetSnapshot()
	if fl == nil || !fo.caughtUp || fo.snapshots.due.IsZero() || now.Before(fo.snapshots.due) {
		return ml.Record{}, false
	}
	fo.snapshots.due, fo.snapshots.last = time.Time{}, now
	re, err := folder.NewRecord("snapshot/"+uuid.NewString(), folder.KindSnapshot, fl)
	return re, err == nil
}
