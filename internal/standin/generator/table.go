package generator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row summarizes the requests of one kind.
type Row struct {
	Kind       string          `json:"kind"`
	Sent       int             `json:"sent"`
	Outcomes   map[Outcome]int `json:"outcomes"`
	ttft       *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

// Percentile returns a percentile of the time to first token, or of the total time
// for service calls, in milliseconds.
func (ro *Row) Percentile(p float64) float64 {
	if ro.ttft.TotalCount() == 0 {
		return float64(ro.total.ValueAtPercentile(p)) / 1000
	}
	return float64(ro.ttft.ValueAtPercentile(p)) / 1000
}

// Lost returns the number of requests with an unacceptable outcome.
func (ro *Row) Lost() int {
	return ro.Sent - ro.Outcomes[OK] - ro.Outcomes[Refused] - ro.Outcomes[Failed]
}

// Summarize returns a row for each kind of request, by median latency.
func Summarize(results []Result) []*Row {
	byKind := make(map[string]*Row)
	out := []*Row{}
	for _, rs := range results {
		ro := byKind[rs.Kind]
		if ro == nil {
			ro = &Row{Kind: rs.Kind, Outcomes: make(map[Outcome]int), ttft: newHistogram(), interToken: newHistogram(), total: newHistogram()}
			byKind[rs.Kind] = ro
			out = append(out, ro)
		}
		ro.add(rs)
	}
	slices.SortFunc(out, func(a, b *Row) int { return cmp.Compare(a.Percentile(50), b.Percentile(50)) })
	return out
}

// newHistogram returns a histogram of microseconds from 1 us to 1 h, with three
// significant digits.
func newHistogram() *hdrhistogram.Histogram {
	const hourMicros, digits = 3_600_000_000, 3
	return hdrhistogram.New(1, hourMicros, digits)
}

// add counts a result. Only successful requests are added to the histograms.
func (ro *Row) add(rs Result) {
	ro.Sent++
	ro.Outcomes[rs.Outcome]++
	if rs.Outcome != OK {
		return
	}
	const microsPerMilli = 1000
	_ = ro.total.RecordValue(int64(rs.TotalMs * microsPerMilli))
	if rs.TTFTMs > 0 {
		_ = ro.ttft.RecordValue(int64(rs.TTFTMs * microsPerMilli))
		_ = ro.interToken.RecordValue(int64(rs.InterTokenMs * microsPerMilli))
	}
}

// WriteTable writes the rows as a text table. For service calls, the TTFT columns
// show the total time.
func WriteTable(w io.Writer, rows []*Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "kind\tsent\tok\trefused\tfailed\tlate\twrong\tshort\tbroken\ttwice\tnotTrue\tTTFT p50 ms\tp95\tp99\tbetween p95 ms\t")
	for _, ro := range rows {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", ro.Kind, ro.Sent,
			ro.Outcomes[OK], ro.Outcomes[Refused], ro.Outcomes[Failed], ro.Outcomes[TimedOut], ro.Outcomes[WrongAnswer], ro.Outcomes[Truncated],
			ro.Outcomes[ConnectionLost], ro.Outcomes[RanTwice], ro.Outcomes[FalseNotRun],
			ro.Percentile(50), ro.Percentile(95), ro.Percentile(99), float64(ro.interToken.ValueAtPercentile(95))/1000)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
