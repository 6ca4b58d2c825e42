// Package burner counts how well the service-level objectives are met, by
// objective, team, failure domain and prompt length, over windows from five
// minutes to three days. Counts and histograms of several entry VMs can be
// merged.
package burner

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	ml "github.com/mulberrylever/mulberrylever"
)

// Objective names a service-level objective.
type Objective string

// The objectives.
const (
	TTFT    Objective = "ttft"    // first token in time
	Between Objective = "between" // mean time between tokens
	Success Objective = "success" // admitted requests that got their answer
	Config  Objective = "config"  // changes in force in time
)

// Windows are the lengths of time that are reported.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// WindowNames name the windows.
var WindowNames = [...]string{"5m", "1h", "6h", "3d"}

// Key names a series.
type Key struct {
	Objective Objective   `json:"objective"`
	Team      ml.TeamID   `json:"team,omitempty"`
	Domain    ml.DomainID `json:"domain,omitempty"`
	Length    string      `json:"length,omitempty"`
}

// Count counts events and the good ones among them.
type Count struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// Row is one series over all windows.
type Row struct {
	Key
	Counts [len(Windows)]Count `json:"counts"`
}

// Snapshot is what one entry VM has counted.
type Snapshot struct {
	Rows       []Row             `json:"rows"`
	Histograms map[string][]byte `json:"histograms"` // TTFT in microseconds by length, last one to two hours, HdrHistogram encoding
}

const (
	fineBucket   = time.Minute
	coarseBucket = 15 * time.Minute
	fineKept     = time.Hour // then merged into coarse buckets
)

// bucket holds the counts of a span of time.
type bucket struct {
	start  time.Time
	span   time.Duration
	counts map[Key]*Count
}

// Burner counts. The zero value has counted nothing.
type Burner struct {
	mu      sync.Mutex
	buckets []*bucket // oldest first
	recent  [ml.Lengths]*hdrhistogram.Histogram
	before  [ml.Lengths]*hdrhistogram.Histogram
	rotated time.Time
}

// Add counts one event.
func (bu *Burner) Add(now time.Time, ke Key, good bool) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bk := bu.current(now)
	co := bk.counts[ke]
	if co == nil {
		co = &Count{}
		bk.counts[ke] = co
	}
	co.Total++
	if good {
		co.Good++
	}
}

// Record adds a time to the first token to its length's histogram.
func (bu *Burner) Record(now time.Time, le ml.Length, ttft time.Duration) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now.Sub(bu.rotated) > time.Hour {
		bu.before, bu.recent, bu.rotated = bu.recent, [ml.Lengths]*hdrhistogram.Histogram{}, now
	}
	if bu.recent[le] == nil {
		bu.recent[le] = NewHistogram()
	}
	_ = bu.recent[le].RecordValue(ttft.Microseconds())
}

// NewHistogram returns a histogram of microseconds up to an hour.
func NewHistogram() *hdrhistogram.Histogram {
	const digits = 2
	return hdrhistogram.New(1, time.Hour.Microseconds(), digits)
}

// Snapshot returns all counts at now.
func (bu *Burner) Snapshot(now time.Time) (Snapshot, error) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	rows := make(map[Key]*Row)
	for _, bk := range bu.buckets {
		age := now.Sub(bk.start)
		for ke, co := range bk.counts {
			ro := rows[ke]
			if ro == nil {
				ro = &Row{Key: ke}
				rows[ke] = ro
			}
			for i, wi := range Windows {
				if age <= wi {
					ro.Counts[i].Good += co.Good
					ro.Counts[i].Total += co.Total
				}
			}
		}
	}
	sn := Snapshot{Rows: make([]Row, 0, len(rows)), Histograms: make(map[string][]byte)}
	for _, ro := range rows {
		sn.Rows = append(sn.Rows, *ro)
	}
	SortRows(sn.Rows)
	return sn, bu.encode(&sn)
}

func (bu *Burner) encode(sn *Snapshot) error {
	for le := range ml.Length(ml.Lengths) {
		sum := NewHistogram()
		for _, hi := range []*hdrhistogram.Histogram{bu.recent[le], bu.before[le]} {
			if hi != nil {
				sum.Merge(hi)
			}
		}
		if sum.TotalCount() == 0 {
			continue
		}
		data, err := sum.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return fmt.Errorf("encode histogram of %s: %w", le, err)
		}
		sn.Histograms[le.String()] = data
	}
	return nil
}

// current returns the bucket for now, merges old buckets and drops the oldest.
func (bu *Burner) current(now time.Time) *bucket {
	start := now.Truncate(fineBucket)
	n := len(bu.buckets)
	if n > 0 && !bu.buckets[n-1].start.Before(start) {
		return bu.buckets[n-1]
	}
	bk := &bucket{start: start, span: fineBucket, counts: make(map[Key]*Count)}
	bu.buckets = append(bu.compact(now), bk)
	return bk
}

func (bu *Burner) compact(now time.Time) []*bucket {
	out := make([]*bucket, 0, len(bu.buckets)+1)
	for _, bk := range bu.buckets {
		switch {
		case now.Sub(bk.start) > Windows[len(Windows)-1]:
		case now.Sub(bk.start) > fineKept && bk.span == fineBucket:
			out = merge(out, bk)
		default:
			out = append(out, bk)
		}
	}
	return out
}

// merge adds a fine bucket to the coarse one that covers it.
func merge(out []*bucket, fine *bucket) []*bucket {
	start := fine.start.Truncate(coarseBucket)
	if n := len(out); n == 0 || out[n-1].span != coarseBucket || !out[n-1].start.Equal(start) {
		return append(out, &bucket{start: start, span: coarseBucket, counts: fine.counts})
	}
	into := out[len(out)-1].counts
	for ke, co := range fine.counts {
		if into[ke] == nil {
			into[ke] = &Count{}
		}
		into[ke].Good += co.Good
		into[ke].Total += co.Total
	}
	return out
}

// SortRows sorts rows by their keys.
func SortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.Length, b.Length),
			cmp.Compare(a.Team, b.Team), cmp.Compare(a.Domain, b.Domain))
	})
}

// Burn returns how fast the error budget is used: 1 uses it up exactly over
// the objective's period. target is the share of good events that is wanted,
// in per cent.
func (co Count) Burn(target float64) float64 {
	if co.Total == 0 {
		return 0
	}
	const all = 100
	bad := float64(co.Total-co.Good) / float64(co.Total)
	return bad / (1 - target/all)
}

// Alerts returns the multi-window alerts of a series, by the usual pairs of a
// long and a short window.
func (ro Row) Alerts(target float64) []string {
	const fast, slow = 14.4, 6
	burn := func(i int) float64 { return ro.Counts[i].Burn(target) }
	out := []string{}
	if burn(0) > fast && burn(1) > fast {
		out = append(out, fmt.Sprintf("%s %s burns its budget %.0f times too fast", ro.Objective, ro.Length, burn(1)))
	} else if burn(1) > slow && burn(2) > slow {
		out = append(out, fmt.Sprintf("%s %s burns its budget %.0f times too fast over 6 h", ro.Objective, ro.Length, burn(2)))
	}
	return out
}

// Group merges rows that agree in what keep leaves of their keys.
func Group(rows []Row, keep func(Key) Key) []Row {
	sums := make(map[Key]*Row)
	for _, ro := range rows {
		ke := keep(ro.Key)
		sum := sums[ke]
		if sum == nil {
			sum = &Row{Key: ke}
			sums[ke] = sum
		}
		for i := range ro.Counts {
			sum.Counts[i].Good += ro.Counts[i].Good
			sum.Counts[i].Total += ro.Counts[i].Total
		}
	}
	out := make([]Row, 0, len(sums))
	for _, ro := range sums {
		out = append(out, *ro)
	}
	SortRows(out)
	return out
}
