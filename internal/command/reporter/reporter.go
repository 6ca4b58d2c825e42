// Package reporter merges the objective counts of the entry VMs into a report on
// service-level burn: a table, JSON or one self-contained HTML page.
package reporter

import (
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/state/burner"
)

// Line reports one series of an objective.
type Line struct {
	burner.Key
	Target float64    `json:"target"` // per cent
	Burn   [4]float64 `json:"burn"`   // burn rate by window
	Total  int64      `json:"total"`  // events in the longest window
	Left   float64    `json:"left"`   // remaining error budget of the longest window, in per cent
	Alerts []string   `json:"alerts"`
}

// TTFTPercentiles holds percentiles of the time to the first token, in
// milliseconds, for one prompt length.
type TTFTPercentiles struct {
	Length string  `json:"length"`
	Count  int64   `json:"count"`
	P50    float64 `json:"p50"`
	P95    float64 `json:"p95"`
	P99    float64 `json:"p99"`
}

// Report is the service-level burn of the fleet.
type Report struct {
	VMs     []ml.VMID         `json:"vms"`     // that answered
	Missing []ml.VMID         `json:"missing"` // that did not answer
	Windows []string          `json:"windows"`
	Lines   []Line            `json:"lines"`
	Times   []TTFTPercentiles `json:"times"`
}

// Grouping selects the dimension by which the lines are split, besides the
// objective: length, team or domain.
type Grouping string

// New merges the snapshots into a report, split by length, team or domain.
func New(sns []burner.Snapshot, obj configurer.Objectives, by Grouping) (Report, error) {
	rows := []burner.Row{}
	for _, sn := range sns {
		rows = append(rows, sn.Rows...)
	}
	re := Report{Windows: burner.WindowNames[:], Lines: []Line{}, Times: []TTFTPercentiles{}}
	for _, ro := range burner.Group(rows, by.groupKey) {
		re.Lines = append(re.Lines, newLine(ro, obj))
	}
	return re, re.addTTFTPercentiles(sns)
}

// groupKey returns ke with only the objective and the selected dimension.
func (gr Grouping) groupKey(ke burner.Key) burner.Key {
	out := burner.Key{Objective: ke.Objective}
	switch gr {
	case "team":
		out.Team = ke.Team
	case "domain":
		out.Domain = ke.Domain
	default:
		out.Length = ke.Length
	}
	return out
}

func newLine(ro burner.Row, obj configurer.Objectives) Line {
	const percent = 100
	li := Line{Key: ro.Key, Target: obj.TargetPerCent, Alerts: []string{}}
	if ro.Objective == burner.Success {
		li.Target = obj.SuccessPerCent
	}
	for i, co := range ro.Counts {
		li.Burn[i] = co.BurnRate(li.Target)
	}
	last := len(ro.Counts) - 1
	li.Total = ro.Counts[last].Total
	li.Left = max(0, 1-li.Burn[last]) * percent
	li.Alerts = append(li.Alerts, ro.Alerts(li.Target)...)
	return li
}

func (re *Report) addTTFTPercentiles(sns []burner.Snapshot) error {
	for le := range ml.Length(ml.NumLengths) {
		sum := burner.NewHistogram()
		for _, sn := range sns {
			data, found := sn.Histograms[le.String()]
			if !found {
				continue
			}
			hi, err := hdrhistogram.Decode(data)
			if err != nil {
				return fmt.Errorf("read histogram of %s: %w", le, err)
			}
			sum.Merge(hi)
		}
		if sum.TotalCount() > 0 {
			re.Times = append(re.Times, TTFTPercentiles{
				Length: le.String(), Count: sum.TotalCount(), P50: percentileMs(sum, 50), P95: percentileMs(sum, 95), P99: percentileMs(sum, 99),
			})
		}
	}
	return nil
}

func percentileMs(hi *hdrhistogram.Histogram, percentile float64) float64 {
	const microsPerMilli = 1000
	return float64(hi.ValueAtPercentile(percentile)) / microsPerMilli
}

// Name returns the length, team or domain of the line, or "all".
func (li Line) Name() string {
	for _, name := range []string{li.Length, string(li.Team), string(li.Domain)} {
		if name != "" {
			return name
		}
	}
	return "all"
}

// WriteTable writes the report as an aligned table for a terminal.
func (re Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "OBJECTIVE\tFOR\tTARGET %\tBURN 5m\t1h\t6h\t3d\tEVENTS\tBUDGET LEFT %\tALERT")
	for _, li := range re.Lines {
		alert := ""
		if len(li.Alerts) > 0 {
			alert = li.Alerts[0]
		}
		fmt.Fprintf(tw, "%s\t%s\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%s\n",
			li.Objective, li.Name(), li.Target, li.Burn[0], li.Burn[1], li.Burn[2], li.Burn[3], li.Total, li.Left, alert)
	}
	fmt.Fprintln(tw, "\nTTFT\tREQUESTS\tP50 ms\tP95 ms\tP99 ms")
	for _, tp := range re.Times {
		fmt.Fprintf(tw, "%s\t%d\t%.1f\t%.1f\t%.1f\n", tp.Length, tp.Count, tp.P50, tp.P95, tp.P99)
	}
	fmt.Fprintf(tw, "\n%d entry VMs answered, %d did not\n", len(re.VMs), len(re.Missing))
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteHTML writes the report as one self-contained page.
func (re Report) WriteHTML(w io.Writer) error {
	if err := htmlPage.Execute(w, re); err != nil {
		return fmt.Errorf("write HTML page: %w", err)
	}
	return nil
}

// barWidth returns the width of a bar in the units of its viewBox. Bars end at
// burn 5.
func barWidth(burn float64) int {
	const maxWidth, unitWidth = 250, 50
	return min(int(burn*unitWidth), maxWidth)
}

var htmlPage = template.Must(template.New("report").Funcs(template.FuncMap{"width": barWidth}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:76rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;width:100%;margin:1rem 0 2rem}
th,td{text-align:left;padding:.35rem .6rem;border-bottom:1px solid #ddd;vertical-align:middle;white-space:nowrap}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}
rect.ok{fill:#4a8f5b}rect.bad{fill:#c0442f}line{stroke:#555;stroke-dasharray:3 2}
.alert{color:#c0442f;font-weight:600;white-space:normal}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{len .VMs}} entry VMs answered{{if .Missing}}, these did not: {{range .Missing}}{{.}} {{end}}{{end}}. Burn 1 uses up the error budget exactly; the dashed line marks it.</p>
<table><tr><th>Objective</th><th>For</th><th class="n">Target %</th>{{range .Windows}}<th>Burn {{.}}</th>{{end}}<th class="n">Events</th><th class="n">Budget left %</th></tr>
{{range .Lines}}<tr><td>{{.Objective}}</td><td>{{.Name}}</td><td class="n">{{printf "%.1f" .Target}}</td>
{{range .Burn}}<td><svg width="70" height="14" viewBox="0 0 260 32" role="img" aria-label="burn {{printf "%.2f" .}}"><rect class="{{if gt . 1.0}}bad{{else}}ok{{end}}" x="0" y="6" width="{{width .}}" height="20"/><line x1="50" x2="50" y1="0" y2="32"/></svg> {{printf "%.2f" .}}</td>{{end}}
<td class="n">{{.Total}}</td><td class="n">{{printf "%.1f" .Left}}</td></tr>
{{range .Alerts}}<tr><td colspan="9" class="alert">{{.}}</td></tr>{{end}}{{end}}</table>
<h2>Time to the first token</h2>
<table><tr><th>Length</th><th class="n">Requests</th><th class="n">p50 ms</th><th class="n">p95 ms</th><th class="n">p99 ms</th></tr>
{{range .Times}}<tr><td>{{.Length}}</td><td class="n">{{.Count}}</td><td class="n">{{printf "%.1f" .P50}}</td><td class="n">{{printf "%.1f" .P95}}</td><td class="n">{{printf "%.1f" .P99}}</td></tr>{{end}}</table>
</body></html>
`))
