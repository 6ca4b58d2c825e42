// Package apportioner decides how many engines are kept free of short answers. Long prompts make
// the answers beside them pause, so short answers gather at few engines while long prompts need
// the others. It answers waves that turn: when the long prompts of one wave have been prefilled and
// short ones come, the engines that were kept are given to these at once.
package apportioner

import (
	"math"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// spreadFactor times the square root of the mean number of engines that long prompts need at a
// time is kept beyond that number: arrivals are uneven.
const spreadFactor = 1.5

// needHalfLife is the time after which half of the engines that long prompts needed are given up, if
// no further ones come.
const needHalfLife = 1500 * time.Millisecond

// Load is what the engines of one service do at a moment, as far as it concerns answers with one
// objective for pauses.
type Load struct {
	Engines int // that can be used
	Taken   int // of these, engines with such answers and no long prompt
	Long    int // of these, engines with a long prompt or its answer
}

// Add counts an engine with its flights. The maximum pause is the longest prefill beside which
// answers with the objective gap are in time.
func (lo *Load) Add(flights []ml.Flight, gap, maxPause time.Duration) {
	lo.Engines++
	hasAnswers, isLong := false, false
	for i := range flights {
		fl := &flights[i]
		hasAnswers = hasAnswers || !fl.Helper && fl.GapTarget == gap
		isLong = isLong || fl.PrefillTime > maxPause
	}
	switch {
	case isLong:
		lo.Long++
	case hasAnswers:
		lo.Taken++
	}
}

// Need is the number of engines that long prompts have needed lately. The zero value is that of a
// service without long prompts. It is not safe for concurrent use.
type Need struct {
	peak float64
	at   time.Time
}

// Update returns the need at now, when some engines have long prompts: between two of these it falls
// only slowly.
func (ne *Need) Update(now time.Time, long int) float64 {
	left := ne.peak * math.Exp2(-float64(now.Sub(ne.at))/float64(needHalfLife))
	ne.peak, ne.at = max(left, float64(long)), now
	return ne.peak
}

// Spare returns which share of the cost of another engine for short answers is saved: 0 if long
// prompts need all engines that are left, and 1 if there are plenty.
func (lo *Load) Spare(need float64) float64 {
	margin := spreadFactor * math.Sqrt(need)
	left := float64(lo.Engines-lo.Taken) - need - margin
	return min(max(left/max(margin, 1), 0), 1)
}
