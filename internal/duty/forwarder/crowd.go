package forwarder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// lookCrowded decides on each waiting request where news of the others is too old
// to foresee what they do: one goes ahead when fewer requests that go before it
// wait elsewhere than there are places.
func (fo *Forwarder) lookCrowded(now time.Time, items []*item, flights map[ml.EndpointID][]ml.Flight) {
	all := append(fo.peersItems(now, items[0].rq), items...)
	sortItems(all, now)
	unseen := fo.unseen(now, flights)
	ahead := 0
	for _, it := range all {
		if it.rq == nil {
			ahead++
			continue
		}
		it.ask.UnseenRequests = unseen
		listings := fo.Catalog.Usable(now, it.service)
		it.held = ahead >= places(it, listings, flights)
		if ou, decided := fo.decide(now, it, listings, flights); decided {
			fo.deliver(it, ou)
			continue
		}
		fo.tellWaiting(now, it)
	}
}

// places returns how many requests the engines could still take.
func places(it *item, listings []cataloger.Listing, flights map[ml.EndpointID][]ml.Flight) int {
	n := 0
	for _, li := range listings {
		running := 0
		for i := range flights[li.ID] {
			if !flights[li.ID][i].Helper {
				running++
			}
		}
		n += max(it.ask.Profile.Slots-running, 0)
	}
	return n
}

// unseen returns how many prompts others have placed in the time that news of
// them takes.
func (fo *Forwarder) unseen(now time.Time, flights map[ml.EndpointID][]ml.Flight) float64 {
	n := 0
	for _, all := range flights {
		for i := range all {
			if !all[i].Helper && now.Sub(all[i].SentAt) < time.Second {
				n++
			}
		}
	}
	return float64(n) * fo.lag().Seconds()
}

func (fo *Forwarder) lag() time.Duration {
	if fo.PropagationDelay == nil {
		return 0
	}
	return fo.PropagationDelay()
}
