// Package burner measures how well the service-level objectives are met and
// how fast their error budgets burn. It counts by objective, team, failure
// domain and prompt length, over windows from five minutes to three days.
// Counts and histograms of several entry VMs can be merged.
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
	TTFT              Objective = "ttft"    // time to the first token
	InterToken        Objective = "between" // mean time between tokens
	Success           Objective = "success" // admitted requests that got their answer
	ConfigPropagation Objective = "config"  // time until a change is in force on a VM
)

// Windows are the time windows that are reported.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// WindowNames holds the names of Windows, in the same order.
var WindowNames = [...]string{"5m", "1h", "6h", "3d"}

// Key identifies a series of counts.
type Key struct {
	Objective Objective   `json:"objective"`
	Team      ml.TeamID   `json:"team,omitempty"`
	Domain    ml.DomainID `json:"domain,omitempty"`
	Length    string      `json:"length,omitempty"`
}

// Count holds the number of events and of those that met the objective.
type Count struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// Row holds the counts of one series in each of Windows.
type Row struct {
	Key
	Counts [len(Windows)]Count `json:"counts"`
}

// Snapshot holds the counts and histograms of one entry VM.
type Snapshot struct {
	Rows       []Row             `json:"rows"`
	Histograms map[string][]byte `json:"histograms"` // TTFT in microseconds by length, last one to two hours, HdrHistogram encoding
}

const (
	fineSpan      = time.Minute      // of a new bucket
	coarseSpan    = 15 * time.Minute // of a merged bucket
	fineRetention = time.Hour        // age at which fine buckets are merged into coarse ones
)

// seriesID replaces a Key in buckets to save memory: there are many teams.
type seriesID int32

// tally is a Count in one bucket, with small fields to save memory.
type tally struct{ good, total uint32 }

// Burner counts events. The zero value is ready to use.
type Burner struct {
	mu      sync.Mutex
	keys    []Key // by seriesID
	series  map[Key]seriesID
	minute  time.Time // start of the minute that current counts
	current map[seriesID]tally
	buckets []bucket // of earlier minutes, oldest first

	// TTFT histograms by length. They are rotated every hour.
	currentTTFT  [ml.NumLengths]*hdrhistogram.Histogram
	previousTTFT [ml.NumLengths]*hdrhistogram.Histogram
	rotatedAt    time.Time
}

// Add counts one event.
func (bu *Burner) Add(now time.Time, ke Key, good bool) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.startMinute(now)
	id := bu.intern(ke)
	ta := bu.current[id]
	ta.total++
	if good {
		ta.good++
	}
	bu.current[id] = ta
}

// intern returns the id of a key and assigns one to a new key.
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

// startMinute moves the current counts into a bucket when a new minute has
// begun.
func (bu *Burner) startMinute(now time.Time) {
	minute := now.Truncate(fineSpan)
	if bu.current != nil && !bu.minute.Before(minute) {
		return
	}
	if len(bu.current) > 0 {
		bu.buckets = append(bu.buckets, newBucket(bu.minute, bu.current))
	}
	bu.buckets = compact(now, bu.buckets)
	bu.minute, bu.current = minute, make(map[seriesID]tally)
}

// RecordTTFT adds a time to the first token to the histogram of its length.
func (bu *Burner) RecordTTFT(now time.Time, le ml.Length, ttft time.Duration) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if now.Sub(bu.rotatedAt) > time.Hour {
		bu.previousTTFT, bu.currentTTFT, bu.rotatedAt = bu.currentTTFT, [ml.NumLengths]*hdrhistogram.Histogram{}, now
	}
	if bu.currentTTFT[le] == nil {
		bu.currentTTFT[le] = NewHistogram()
	}
	_ = bu.currentTTFT[le].RecordValue(ttft.Microseconds())
}

// NewHistogram returns a histogram for values from 1 µs to one hour, in
// microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	const digits = 2
	return hdrhistogram.New(1, time.Hour.Microseconds(), digits)
}

// Snapshot returns the counts of all windows up to now, and the histograms.
func (bu *Burner) Snapshot(now time.Time) (Snapshot, error) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	rows := make(map[Key]*Row)
	all := append(slices.Clone(bu.buckets), newBucket(bu.minute, bu.current))
	for _, bk := range all {
		age := now.Sub(bk.start)
		for _, st := range bk.tallies {
			ke := bu.keys[st.id]
			ro := rows[ke]
			if ro == nil {
				ro = &Row{Key: ke}
				rows[ke] = ro
			}
			for i, wi := range Windows {
				if age <= wi {
					ro.Counts[i].Good += int64(st.good)
					ro.Counts[i].Total += int64(st.total)
				}
			}
		}
	}
	sn := Snapshot{Rows: make([]Row, 0, len(rows)), Histograms: make(map[string][]byte)}
	for _, ro := range rows {
		sn.Rows = append(sn.Rows, *ro)
	}
	SortRows(sn.Rows)
	return sn, bu.encodeHistograms(&sn)
}

func (bu *Burner) encodeHistograms(sn *Snapshot) error {
	for le := range ml.Length(ml.NumLengths) {
		sum := NewHistogram()
		for _, hi := range []*hdrhistogram.Histogram{bu.currentTTFT[le], bu.previousTTFT[le]} {
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

// BurnRate returns how fast the error budget is used: 1 uses it up exactly
// over the objective's period. target is the objective in per cent of good
// events.
func (co Count) BurnRate(target float64) float64 {
	if co.Total == 0 {
		return 0
	}
	const perCent = 100
	bad := float64(co.Total-co.Good) / float64(co.Total)
	return bad / (1 - target/perCent)
}

// Alerts returns the multi-window burn-rate alerts of a series. It uses the
// customary thresholds: 14.4 over 5 minutes and 1 hour, and 6 over 1 hour and
// 6 hours. target is the objective in per cent of good events.
func (ro Row) Alerts(target float64) []string {
	const fastBurn, slowBurn = 14.4, 6
	rate := func(i int) float64 { return ro.Counts[i].BurnRate(target) }
	out := []string{}
	if rate(0) > fastBurn && rate(1) > fastBurn {
		out = append(out, fmt.Sprintf("%s %s burns its budget %.0f times too fast", ro.Objective, ro.Length, rate(1)))
	} else if rate(1) > slowBurn && rate(2) > slowBurn {
		out = append(out, fmt.Sprintf("%s %s burns its budget %.0f times too fast over 6 h", ro.Objective, ro.Length, rate(2)))
	}
	return out
}

// Group adds up the rows for which keyOf returns the same key.
func Group(rows []Row, keyOf func(Key) Key) []Row {
	sums := make(map[Key]*Row)
	for _, ro := range rows {
		ke := keyOf(ro.Key)
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
