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

// Dimensions of the plot, in SVG units.
const (
	barHeight   = 12
	rowGap      = 14
	labelWidth  = 150
	decadeWidth = 130 // width of a factor of ten on the scale
	minScaleMs  = 10  // left end of the scale, in milliseconds
	maxScaleMs  = 100_000
)

// bar shows the 95th percentile of one policy.
type bar struct {
	Policy string
	Ms     float64
	Y      int
	Width  float64
	Tested bool
}

// row holds the bars of one load and kind of prompt.
type row struct {
	Label string
	Y     int
	Bars  []bar
}

// gridLine is a vertical line of the scale.
type gridLine struct {
	X     float64
	Label string
}

// writePlot draws the 95th percentiles of all policies on a logarithmic scale to an
// SVG file.
func (co *Comparer) writePlot(path string) error {
	rows, y := []row{}, 3*rowGap
	for _, load := range loadPercents {
		for _, kind := range promptKinds {
			ro := row{Label: "load " + load + ", " + kind, Y: y + barHeight}
			for _, policy := range policies() {
				if ms := co.p95(load+"-"+policy, kind); ms > 0 {
					ro.Bars = append(ro.Bars, bar{policy, ms, y, scaleX(ms), policy == testedPolicy})
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
		Lines  []gridLine
		Left   int
		Height int
	}{rows, scaleLines(), labelWidth, y})
	if err != nil {
		return fmt.Errorf("%s: write plot: %w", co, err)
	}
	return nil
}

// scaleX returns the position of a time on the scale.
func scaleX(ms float64) float64 { return decadeWidth * math.Log10(max(ms, minScaleMs)/minScaleMs) }

// scaleLines returns a line for each power of ten.
func scaleLines() []gridLine {
	out := []gridLine{}
	for ms := float64(minScaleMs); ms <= maxScaleMs; ms *= 10 {
		out = append(out, gridLine{scaleX(ms), fmt.Sprintf("%g ms", ms)})
	}
	return out
}
