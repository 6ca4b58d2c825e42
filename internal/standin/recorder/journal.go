package recorder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/standin/fleetreader"
)

// maxPageRecords bounds the records returned by one read.
const maxPageRecords = 1000

// journal is the in-memory log.
type journal struct {
	mu          sync.Mutex
	firstOffset ml.Offset // offset of records[0]
	records     []ml.Record
	retention   time.Duration
	appendLimit *rate.Limiter
	appended    chan struct{} // closed and replaced on each append
	faults      Faults
	rng         *rand.Rand
}

// open initializes an empty log. Its first offset is 1.
func (jo *journal) open(pl fleetreader.PlatformConfig, seed uint64) {
	jo.firstOffset = 1
	jo.retention = time.Duration(pl.RetentionMs) * time.Millisecond
	jo.appendLimit = rate.NewLimiter(rate.Limit(pl.AppendsPerSecond), int(pl.AppendsPerSecond))
	jo.appended = make(chan struct{})
	jo.rng = rand.New(rand.NewPCG(seed, 2))
}

// append adds records and returns the offset of the first one. A call counts once
// against the rate limit, whatever the number of records. allowed is false if the
// limit is exceeded. lost is true if the answer must be dropped.
func (jo *journal) append(now time.Time, recs []ml.Record) (first ml.Offset, allowed, lost bool) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if !jo.appendLimit.AllowN(now, 1) {
		return 0, false, false
	}
	first = jo.firstOffset + ml.Offset(len(jo.records))
	for i, re := range recs {
		re.Offset = first + ml.Offset(i)
		re.Time = now
		jo.records = append(jo.records, re)
	}
	close(jo.appended)
	jo.appended = make(chan struct{})
	return first, true, jo.rng.Float64() < jo.faults.ResponseLossRate
}

// wait waits until the log has a record at or after an offset, or ctx is done.
func (jo *journal) wait(ctx context.Context, from ml.Offset) {
	for {
		jo.mu.Lock()
		available := jo.firstOffset+ml.Offset(len(jo.records)) > from
		appended := jo.appended
		jo.mu.Unlock()
		if available {
			return
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return
		}
	}
}

// read returns a page of records from an offset, or from the oldest one kept.
func (jo *journal) read(now time.Time, from ml.Offset) ml.LogPage {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.expire(now)
	end := jo.firstOffset + ml.Offset(len(jo.records))
	from = min(max(from, jo.firstOffset), end)
	next := min(from+maxPageRecords, end)
	recs := append([]ml.Record{}, jo.records[from-jo.firstOffset:next-jo.firstOffset]...)
	return ml.LogPage{First: jo.firstOffset, Next: next, End: end, Records: recs}
}

// expire removes the records that are older than the retention.
func (jo *journal) expire(now time.Time) {
	expired := 0
	for expired < len(jo.records) && now.Sub(jo.records[expired].Time) > jo.retention {
		expired++
	}
	jo.records = jo.records[expired:]
	jo.firstOffset += ml.Offset(expired)
}

// setFaults replaces the injected faults.
func (jo *journal) setFaults(fa Faults) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.faults = fa
	if fa.RetentionMs > 0 {
		jo.retention = time.Duration(fa.RetentionMs) * time.Millisecond
	}
}

// currentFaults returns the injected faults.
func (jo *journal) currentFaults() Faults {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	return jo.faults
}
