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

// maxPage bounds the records of one read.
const maxPage = 1000

// journal is the log itself, in memory.
type journal struct {
	mu        sync.Mutex
	first     ml.Offset // offset of records[0]
	records   []ml.Record
	retention time.Duration
	limit     *rate.Limiter
	grown     chan struct{} // closed and replaced at each append
	chaos     Faults
	rng       *rand.Rand
}

func (jo *journal) open(pl fleetreader.PlatformConfig, seed uint64) {
	jo.first = 1
	jo.retention = time.Duration(pl.RetentionMs) * time.Millisecond
	jo.limit = rate.NewLimiter(rate.Limit(pl.AppendsPerSecond), int(pl.AppendsPerSecond))
	jo.grown = make(chan struct{})
	jo.rng = rand.New(rand.NewPCG(seed, 2))
}

// append adds the records. One call counts once against the rate limit.
func (jo *journal) append(now time.Time, recs []ml.Record) (first ml.Offset, allowed, lost bool) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	if !jo.limit.AllowN(now, 1) {
		return 0, false, false
	}
	first = jo.first + ml.Offset(len(jo.records))
	for i, re := range recs {
		re.Offset = first + ml.Offset(i)
		re.Time = now
		jo.records = append(jo.records, re)
	}
	close(jo.grown)
	jo.grown = make(chan struct{})
	return first, true, jo.rng.Float64() < jo.chaos.ResponseLossRate
}

// wait returns when there is a record at offset, or when ctx ends.
func (jo *journal) wait(ctx context.Context, from ml.Offset) {
	for {
		jo.mu.Lock()
		there := jo.first+ml.Offset(len(jo.records)) > from
		grown := jo.grown
		jo.mu.Unlock()
		if there {
			return
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return
		}
	}
}

func (jo *journal) read(now time.Time, from ml.Offset) ml.LogPage {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.expire(now)
	end := jo.first + ml.Offset(len(jo.records))
	from = min(max(from, jo.first), end)
	next := min(from+maxPage, end)
	recs := append([]ml.Record{}, jo.records[from-jo.first:next-jo.first]...)
	return ml.LogPage{First: jo.first, Next: next, End: end, Records: recs}
}

// expire drops records older than the retention.
func (jo *journal) expire(now time.Time) {
	old := 0
	for old < len(jo.records) && now.Sub(jo.records[old].Time) > jo.retention {
		old++
	}
	jo.records = jo.records[old:]
	jo.first += ml.Offset(old)
}

func (jo *journal) disturb(ch Faults) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.chaos = ch
	if ch.RetentionMs > 0 {
		jo.retention = time.Duration(ch.RetentionMs) * time.Millisecond
	}
}

func (jo *journal) disturbance() Faults {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	return jo.chaos
}
