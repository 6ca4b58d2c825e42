// Package scaler decides which engines of a failure domain are switched on or
// off: on when demand calls for it, off when it is gone.
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

// Engine is an engine of the domain as the planner sees it.
type Engine struct {
	Endpoint ml.Endpoint
	Load     ml.EndpointLoad
	Awake    bool // its owner tells of its load
}

// Limits are the configured bounds.
type Limits struct {
	WakeAbovePerCent  float64
	SleepBelowPerCent float64
	MinOrderInterval  time.Duration // between two orders for one model
	MinAwake          int
}

// Order is a decision to switch one engine.
type Order struct {
	Endpoint ml.Endpoint
	Action   string
}

// Scaler remembers when orders were given. The zero value knows of none.
type Scaler struct {
	last map[ml.ModelID]time.Time
}

// RecordOrder records that an order was given.
func (sc *Scaler) RecordOrder(now time.Time, or Order) {
	if sc.last == nil {
		sc.last = make(map[ml.ModelID]time.Time)
	}
	sc.last[or.Endpoint.Model] = now
}

// Decide returns at most one order for each model. An order that was given is
// decided again after the hold time, if it had no effect.
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
		if last, found := sc.last[mo]; found && now.Sub(last) < li.MinOrderInterval {
			continue
		}
		if or, needed := decide(byModel[mo], li); needed {
			out = append(out, or)
		}
	}
	return out
}

// decide looks at the engines of one model.
func decide(engines []Engine, li Limits) (Order, bool) {
	awake, asleep := split(engines)
	busy := busyPerCent(awake)
	switch {
	case len(asleep) > 0 && (len(awake) < li.MinAwake || busy > li.WakeAbovePerCent):
		return Order{Endpoint: asleep[0].Endpoint, Action: Wake}, true
	case len(awake) > li.MinAwake && busy < li.SleepBelowPerCent:
		return leastBusy(awake)
	}
	return Order{}, false
}

func split(engines []Engine) (awake, asleep []Engine) {
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

// busyPerCent returns how much of what the engines carry when warm is asked of
// them.
func busyPerCent(awake []Engine) float64 {
	const all = 100
	asked, carried := 0, 0
	for _, en := range awake {
		asked += en.Load.Requests + en.Load.Waiting
		carried += en.Endpoint.MaxRequests
	}
	if carried == 0 {
		return 0
	}
	return all * float64(asked) / float64(carried)
}

// leastBusy switches off an engine that has nothing to do, if there is one.
func leastBusy(awake []Engine) (Order, bool) {
	for _, en := range slices.Backward(awake) {
		if en.Load.Requests+en.Load.Waiting == 0 {
			return Order{Endpoint: en.Endpoint, Action: Sleep}, true
		}
	}
	return Order{}, false
}
