package comparer

import (
	_ "embed"
	"fmt"
	"math"
	"os"
	"text/template"
)

//go:embed plot.svg.tmpl
var plotText string

var plotTemplate = template.Must(template.New("plot").Parse(plotText))

// The plot's measures, in its own units.
const (
	barHeight  = 12
	rowGap     = 14
	labelWidth = 150
	decade     = 130 // width of a factor of ten
	leastMs    = 10  // left end of the scale
	mostMs     = 100_000
)

// bar is one policy's 95th percentile.
type bar struct {
	Policy string
	Ms     float64
	Y      int
	Width  float64
	Ours   bool
}

// row is the bars of one load and length.
type row struct {
	Label string
	Y     int
	Bars  []bar
}

// line is a mark of the scale.
type line struct {
	X     float64
	Label string
}

// writePlot draws the 95th percentiles of all policies on a logarithmic scale.
func (co *Comparer) writePlot(path string) error {
	rows, y := []row{}, 3*rowGap
	for _, load := range loads {
		for _, kind := range kinds {
			ro := row{Label: "load " + load + ", " + kind, Y: y + barHeight}
			for _, policy := range policies() {
				if ms := co.p95(load+"-"+policy, kind); ms > 0 {
					ro.Bars = append(ro.Bars, bar{policy, ms, y, along(ms), policy == ours})
					y += barHeight
				}
			}
			rows = append(rows, ro)
			y += rowGap
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("%s: write plot: %w", co, err)
	}
	defer file.Close()
	err = plotTemplate.Execute(file, struct {
		Rows   []row
		Lines  []line
		Left   int
		Height int
	}{rows, scale(), labelWidth, y})
	if err != nil {
		return fmt.Errorf("%s: write plot: %w", co, err)
	}
	return nil
}

// along returns the place of a time on the scale.
func along(ms float64) float64 { return decade * math.Log10(max(ms, leastMs)/leastMs) }

func scale() []line {
	out := []line{}
	for ms := float64(leastMs); ms <= mostMs; ms *= 10 {
		out = append(out, line{along(ms), fmt.Sprintf("%g ms", ms)})
	}
	return out
}
