package forwarder

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// scheduleWithStalePeers decides on each waiting request when updates from peers
// are too old to predict their placements. A request may be placed if fewer peer
// requests are ahead of it than the engines have free slots.
func (fo *Forwarder) scheduleWithStalePeers(ro *round, items []*item) {
	all := append(fo.peerItems(ro.now, items), items...)
	fo.shareAmongTeams(ro, all)
	sortByUrgency(all, ro.now)
	unseen := fo.expectedUnseen(ro.now, ro.flights)
	ahead := 0
	for _, it := range all {
		if it.isSimulated() {
			ahead++
			continue
		}
		it.placerReq.UnseenRequests = unseen
		it.outranked = ahead >= freeSlots(it, fo.service(ro, it.service).listings, ro.flights)
		if de, decided := fo.decide(ro, it); decided {
			fo.deliver(it, de)
			continue
		}
		fo.shareWaiting(ro.now, it)
	}
}

// freeSlots returns how many more requests the engines could run.
func freeSlots(it *item, listings []cataloger.Listing, flights map[ml.EndpointID][]ml.Flight) int {
	n := 0
	for _, li := range listings {
		running := 0
		for i := range flights[li.ID] {
			if !flights[li.ID][i].Helper {
				running++
			}
		}
		n += max(it.placerReq.Profile.Slots-running, 0)
	}
	return n
}

// expectedUnseen estimates how many prompts other entry VMs have placed that
// this one has not been informed of yet: the rate of known placements in the last
// second, multiplied by the propagation delay.
func (fo *Forwarder) expectedUnseen(now time.Time, flights map[ml.EndpointID][]ml.Flight) float64 {
	n := 0
	for _, all := range flights {
		for i := range all {
			if !all[i].Helper && now.Sub(all[i].SentAt) < time.Second {
				n++
			}
		}
	}
	return float64(n) * fo.propagationDelay().Seconds()
}

func (fo *Forwarder) propagationDelay() time.Duration {
	if fo.PropagationDelay == nil {
		return 0
	}
	return fo.PropagationDelay()
}
