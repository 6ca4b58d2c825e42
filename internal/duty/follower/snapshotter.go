package follower

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
)

const (
	// snapshotInterval is the age at which the newest snapshot is replaced.
	snapshotInterval = 10 * time.Minute
	// snapshotSpread spreads the entry VMs' attempts, so that one of them
	// appends and the others see it.
	snapshotSpread = 30 * time.Second
	// snapshotRecords is the number of records after which a new snapshot
	// spares new readers the work.
	snapshotRecords = 5000
)

// snapshotter decides when a snapshot is due.
type snapshotter struct {
	last    time.Time // newest snapshot in the log, by this VM's clock
	records int       // read since then
	due     time.Time
}

// saw records a page that was read.
func (sn *snapshotter) saw(now time.Time, pa ml.LogPage) {
	if sn.last.IsZero() {
		sn.last = now
	}
	for _, re := range pa.Records {
		sn.records++
		if re.Kind == folder.KindSnapshot {
			sn.last, sn.records, sn.due = now, 0, time.Time{}
		}
	}
	if sn.due.IsZero() && (now.Sub(sn.last) > snapshotInterval || sn.records > snapshotRecords) {
		sn.due = now.Add(rand.N(snapshotSpread))
	}
}

// DueSnapshot returns the snapshot to append at now, if one is due.
func (fo *Follower) DueSnapshot(now time.Time) (ml.Record, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	fl := fo.folder.FleetSnapshot()
	if fl == nil || !fo.end || fo.snap.due.IsZero() || now.Before(fo.snap.due) {
		return ml.Record{}, false
	}
	fo.snap.due, fo.snap.last = time.Time{}, now
	re, err := folder.NewRecord("snapshot/"+uuid.NewString(), folder.KindSnapshot, fl)
	return re, err == nil
}
