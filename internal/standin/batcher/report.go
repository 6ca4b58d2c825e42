package batcher

import (
	"context"
	"sync"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

// reportInterval is the time between two load reports.
const reportInterval = 100 * time.Millisecond

// reportRing keeps the newest load reports, so that the engine can report its load
// with a lag.
type reportRing struct {
	mu      sync.Mutex
	reports [64]ml.EngineLoad
	next    int // total number of reports, the next index modulo the ring's size
}

// loopRecord records a load report every reportInterval.
func (rr *reportRing) loopRecord(ctx context.Context, sc *scheduler) error {
	return pacer.Every(ctx, reportInterval, func(time.Time) {
		sc.mu.Lock()
		lo := sc.load()
		sc.mu.Unlock()
		rr.mu.Lock()
		rr.reports[rr.next%len(rr.reports)] = lo
		rr.next++
		rr.mu.Unlock()
	})
}

// lagged returns the report recorded about lag ago, or the oldest one kept.
func (rr *reportRing) lagged(lag time.Duration) ml.EngineLoad {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	reportsBack := min(int(lag/reportInterval)+1, len(rr.reports), rr.next)
	if reportsBack == 0 {
		return ml.EngineLoad{}
	}
	return rr.reports[(rr.next-reportsBack)%len(rr.reports)]
}
