// Package scaler decides which engines of a failure domain to switch on or off.
// It compares the load of each model's engines with their capacity.
package scaler

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// The actions of orders.
const (
	Wake  = "wake"
	Sleep = "sleep"
)

// Engine is an engine of the domain with its load.
type Engine struct {
	Endpoint ml.Endpoint
	Load     ml.EndpointLoad
	Awake    bool // its owner reports a load for it
}

// Limits are the configured bounds.
type Limits struct {
	WakeAbovePerCent  float64       // of the capacity; above it an engine is switched on
	SleepBelowPerCent float64       // of the capacity; below it an engine is switched off
	MinOrderInterval  time.Duration // between two orders for one model
	MinAwake          int           // engines of each model
}

// Order is a decision to switch one engine.
type Order struct {
	Endpoint ml.Endpoint
	Action   string
}

// Scaler remembers the last order for each model. The zero value has none.
type Scaler struct {
	lastOrderAt map[ml.ModelID]time.Time
}

// RecordOrder records that an order was given to its engine.
func (sc *Scaler) RecordOrder(now time.Time, or Order) {
	if sc.lastOrderAt == nil {
		sc.lastOrderAt = make(map[ml.ModelID]time.Time)
	}
	sc.lastOrderAt[or.Endpoint.Model] = now
}

// Decide returns at most one order for each model. An order that had no effect
// is repeated after the minimum interval.
func (sc *Scaler) Decide(now time.Time, engines []Engine, li Limits) []Order {
	byModel := make(map[ml.ModelID][]Engine)
	models := []ml.ModelID{}
	for _, en := range engines {
		if len(byModel[en.Endpoint.Model]) == 0 {
			models = append(models, en.Endpoint.Model)
		}
		byModel[en.Endpoint.Model] = append(byModel[en.Endpoint.Model], en)
	}
	slices.Sort(models)
	out := []Order{}
	for _, mo := range models {
		if last, found := sc.lastOrderAt[mo]; found && now.Sub(last) < li.MinOrderInterval {
			continue
		}
		if or, needed := decideModel(byModel[mo], li); needed {
			out = append(out, or)
		}
	}
	return out
}

// decideModel returns the order for the engines of one model. The second result
// is false when none is needed.
func decideModel(engines []Engine, li Limits) (Order, bool) {
	awake, asleep := splitAwake(engines)
	load := loadPerCent(awake)
	switch {
	case len(asleep) > 0 && (len(awake) < li.MinAwake || load > li.WakeAbovePerCent):
		return Order{Endpoint: asleep[0].Endpoint, Action: Wake}, true
	case len(awake) > li.MinAwake && load < li.SleepBelowPerCent:
		return sleepIdle(awake)
	}
	return Order{}, false
}

func splitAwake(engines []Engine) (awake, asleep []Engine) {
	for _, en := range engines {
		if en.Awake {
			awake = append(awake, en)
		} else {
			asleep = append(asleep, en)
		}
	}
	slices.SortFunc(asleep, func(a, b Engine) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return awake, asleep
}

// loadPerCent returns the running and waiting requests in per cent of the
// engines' capacity when warm.
func loadPerCent(awake []Engine) float64 {
	const percent = 100
	demand, capacity := 0, 0
	for _, en := range awake {
		demand += en.Load.Requests + en.Load.Waiting
		capacity += en.Endpoint.MaxRequests
	}
	if capacity == 0 {
		return 0
	}
	return percent * float64(demand) / float64(capacity)
}

// sleepIdle returns the order to switch off the last idle engine. The second
// result is false when none is idle.
func sleepIdle(awake []Engine) (Order, bool) {
	for _, en := range slices.Backward(awake) {
		if en.Load.Requests+en.Load.Waiting == 0 {
			return Order{Endpoint: en.Endpoint, Action: Sleep}, true
		}
	}
	return Order{}, false
}
