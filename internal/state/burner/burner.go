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
	TTFT              Objective = "ttft"    // first token in time
	InterToken        Objective = "between" // mean time between tokens
	Success           Objective = "success" // admitted requests that got their answer
	ConfigPropagation Objective = "config"  // changes in force in time
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

// seriesID stands for a key in buckets: there are many teams.
type seriesID int32

// tally is a Count of one bucket, kept small.
type tally struct{ good, total uint32 }

// Burner counts. The zero value has counted nothing.
type Burner struct {
	mu      sync.Mutex
	keys    []Key // by series
	series  map[Key]seriesID
	minute  time.Time // that current counts
	current map[seriesID]tally
	buckets []bucket // of earlier minutes, oldest first
	recent  [ml.NumLengths]*hdrhistogram.Histogram
	before  [ml.NumLengths]*hdrhistogram.Histogram
	rotated time.Time
}

// Add counts one event.
func (bu *Burner) Add(now time.Time, ke Key, good bool) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.turn(now)
	id := bu.intern(ke)
	ta := bu.current[id]
	ta.total++
	if good {
		ta.good++
	}
	bu.current[id] = ta
}

func (bu *Burner) intern(ke Key) seriesID {
	id, known := bu.series[ke]
	if known {
		return id
	}
	if bu.series == nil {
		bu.series = make(map[Key]seriesID)
	}
	id = seriesID(len(bu.keys))
	bu.keys = append(bu.keys, ke)
	bu.series[ke] = id
	return id
}

// turn closes the current minute's counts when another minute has begun.
func (bu *Burner) turn(now time.Time) {
	minute := now.Truncate(fineBucket)
	if bu.current != nil && !bu.minute.Before(minute) {
		return
	}
	if len(bu.current) > 0 {
		bu.buckets = append(bu.buckets, newBucket(bu.minute, bu.current))
	}
	bu.buckets = compact(now, bu.buckets)
	bu.minute, bu.current = minute, make(map[seriesID]tally)
}

// RecordTTFT adds a time to the first token to its length's histogram.
func (bu *Burner) RecordTTFT(now time.Time, le ml.Length, ttft time.Duration) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now.Sub(bu.rotated) > time.Hour {
		bu.before, bu.recent, bu.rotated = bu.recent, [ml.NumLengths]*hdrhistogram.Histogram{}, now
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
	all := append(slices.Clone(bu.buckets), newBucket(bu.minute, bu.current))
	for _, bk := range all {
		age := now.Sub(bk.start)
		for _, en := range bk.entries {
			ke := bu.keys[en.id]
			ro := rows[ke]
			if ro == nil {
				ro = &Row{Key: ke}
				rows[ke] = ro
			}
			for i, wi := range Windows {
				if age <= wi {
					ro.Counts[i].Good += int64(en.good)
					ro.Counts[i].Total += int64(en.total)
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
	for le := range ml.Length(ml.NumLengths) {
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

// SortRows sorts rows by their keys.
func SortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.Length, b.Length),
			cmp.Compare(a.Team, b.Team), cmp.Compare(a.Domain, b.Domain))
	})
}

// BurnRate returns how fast the error budget is used: 1 uses it up exactly over
// the objective's period. target is the share of good events that is wanted,
// in per cent.
func (co Count) BurnRate(target float64) float64 {
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
	burn := func(i int) float64 { return ro.Counts[i].BurnRate(target) }
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
