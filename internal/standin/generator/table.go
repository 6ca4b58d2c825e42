package generator

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row sums up the requests of one kind.
type Row struct {
	Kind     string          `json:"kind"`
	Sent     int             `json:"sent"`
	Outcomes map[Outcome]int `json:"outcomes"`
	ttft     *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
}

// Percentile returns a percentile of the time to the first token, in
// milliseconds; of the whole time for calls without tokens.
func (ro *Row) Percentile(p float64) float64 {
	if ro.ttft.TotalCount() == 0 {
		return float64(ro.total.ValueAtPercentile(p)) / 1000
	}
	return float64(ro.ttft.ValueAtPercentile(p)) / 1000
}

// Lost counts the requests that ended in a way that is not allowed.
func (ro *Row) Lost() int {
	return ro.Sent - ro.Outcomes[OK] - ro.Outcomes[Refused] - ro.Outcomes[Failed]
}

// Summarize sums up results by kind, in the order of their first tokens.
func Summarize(results []Result) []*Row {
	byKind := make(map[string]*Row)
	out := []*Row{}
	for _, rs := range results {
		ro := byKind[rs.Kind]
		if ro == nil {
			ro = &Row{Kind: rs.Kind, Outcomes: make(map[Outcome]int), ttft: newHistogram(), between: newHistogram(), total: newHistogram()}
			byKind[rs.Kind] = ro
			out = append(out, ro)
		}
		ro.add(rs)
	}
	slices.SortFunc(out, func(a, b *Row) int { return cmp.Compare(a.Percentile(50), b.Percentile(50)) })
	return out
}

// newHistogram covers a microsecond to an hour.
func newHistogram() *hdrhistogram.Histogram {
	const hour, digits = 3_600_000_000, 3
	return hdrhistogram.New(1, hour, digits)
}

func (ro *Row) add(rs Result) {
	ro.Sent++
	ro.Outcomes[rs.Outcome]++
	if rs.Outcome != OK {
		return
	}
	const micros = 1000
	_ = ro.total.RecordValue(int64(rs.TotalMs * micros))
	if rs.TTFTMs > 0 {
		_ = ro.ttft.RecordValue(int64(rs.TTFTMs * micros))
		_ = ro.between.RecordValue(int64(rs.BetweenMs * micros))
	}
}

// WriteTable writes the summary for people. Calls without tokens show the
// whole time in the columns of the first token.
func WriteTable(w io.Writer, rows []*Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "kind\tsent\tok\trefused\tfailed\tlate\twrong\tshort\tbroken\ttwice\tnotTrue\tTTFT p50 ms\tp95\tp99\tbetween p95 ms\t")
	for _, ro := range rows {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", ro.Kind, ro.Sent,
			ro.Outcomes[OK], ro.Outcomes[Refused], ro.Outcomes[Failed], ro.Outcomes[Late], ro.Outcomes[Wrong], ro.Outcomes[Short],
			ro.Outcomes[Broken], ro.Outcomes[Twice], ro.Outcomes[NotTrue],
			ro.Percentile(50), ro.Percentile(95), ro.Percentile(99), float64(ro.between.ValueAtPercentile(95))/1000)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
