package forwarder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
)

// The bounds of the users: within limitWindow an engine may receive limitOverage times
// what its limit allows, and limitSlack requests more, from limitSettleTime after it
// first stated the limit. Requests of entry VMs count that have passed on a statement
// toldMargin before.
const (
	limitWindow     = 4 * time.Second
	limitOverage    = 1.5
	limitSlack      = 5
	limitSettleTime = 3 * time.Second
	toldMargin      = 500 * time.Millisecond
)

// limitDay is a day of requests before engines that state a limit.
type limitDay struct {
	domains, perDomain int
	engines            int
	requests           int           // in each second, at entry VMs drawn at random
	rate               float64       // that each engine states, in requests per second
	maxDelayMs         int           // of news
	restartS           int           // when an entry VM starts anew; 0 for never
	until              time.Duration // when the engines stop stating their limit
}

// limitSend is a request at an engine.
type limitSend struct {
	at  time.Time
	by  int
	got bool // the answer has been received
}

// limitRun is the course of a limitDay.
type limitRun struct {
	*coldFleet
	day    limitDay
	sends  map[ml.EndpointID][]limitSend
	toldAt map[ml.EndpointID]map[int]time.Time // when an entry VM passed on the first statement
	first  map[ml.EndpointID]time.Time         // first statement of an engine
}

const limitDuration = 20 * time.Second

func (ld limitDay) run() string {
	const step, answerTime = 10 * time.Millisecond, 100 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	lr := &limitRun{
		day: ld, coldFleet: newColdFleet(ld.domains, ld.perDomain, ld.engines), sends: make(map[ml.EndpointID][]limitSend),
		toldAt: make(map[ml.EndpointID]map[int]time.Time), first: make(map[ml.EndpointID]time.Time),
	}
	begin := lr.start.Add(time.Minute)
	delay := func() time.Duration { return time.Duration(random.IntN(ld.maxDelayMs+1)) * time.Millisecond }
	arrivals := 0
	for now := begin; now.Before(begin.Add(limitDuration)); now = now.Add(step) {
		lr.exchange(now, delay)
		for arrivals += ld.requests; arrivals >= int(time.Second/step); arrivals -= int(time.Second / step) {
			lr.placeOne(now, random.IntN(len(lr.all)))
		}
		lr.answerAll(now, answerTime, now.Sub(begin) < ld.until)
		if ld.restartS > 0 && now.Equal(begin.Add(time.Duration(ld.restartS)*time.Second)) {
			lr.restart(0)
		}
	}
	return lr.judge(begin)
}

// placeOne lets an entry VM place a request at once or not at all.
func (lr *limitRun) placeOne(now time.Time, i int) {
	lr.place(now, i, 0)
	for _, wr := range lr.writes {
		wr.by.Tracker.RecordSent(now, wr.flight)
		wr.by.Tracker.EndFlight(wr.flight)
		lr.sends[wr.endpoint] = append(lr.sends[wr.endpoint], limitSend{at: now, by: slices.Index(lr.all, wr.by)})
	}
	lr.writes = nil
}

// answerAll delivers the answers that are due, with the engine's statement.
func (lr *limitRun) answerAll(now time.Time, answerTime time.Duration, isStated bool) {
	for id, sends := range lr.sends {
		for i := range sends {
			if sends[i].got || now.Sub(sends[i].at) < answerTime {
				continue
			}
			sends[i].got = true
			lr.all[sends[i].by].Tracker.RecordLimit(now, id, "", ml.RateLimit{Stated: isStated, Rate: ml.RequestRate(lr.day.rate)})
			if !isStated {
				continue
			}
			if lr.toldAt[id] == nil {
				lr.toldAt[id], lr.first[id] = make(map[int]time.Time), now
			}
			if _, told := lr.toldAt[id][sends[i].by]; !told {
				lr.toldAt[id][sends[i].by] = now
			}
		}
	}
}

// restart replaces an entry VM by a new one that knows nothing yet.
func (lr *limitRun) restart(i int) {
	fresh := newColdFleet(lr.day.domains, lr.day.perDomain, lr.day.engines)
	lr.all[i] = fresh.all[i]
	view := lr.all[i].Membership(lr.start)
	view.Settled = false
	lr.all[i].Membership = func(time.Time) ml.Membership { return view }
	for _, told := range lr.toldAt {
		delete(told, i)
	}
}

// judge compares the day with the users' bounds, and checks that the engines receive at
// least half of the requests that they take, and more when they no longer state a limit.
func (lr *limitRun) judge(begin time.Time) string {
	allowed := int(limitOverage*lr.day.rate*limitWindow.Seconds()) + limitSlack
	most, during, after := 0, 0, 0
	for id, sends := range lr.sends {
		counted := []time.Time{}
		for _, ls := range sends {
			told, known := lr.toldAt[id][ls.by]
			if known && ls.at.Sub(told) >= toldMargin && ls.at.Sub(lr.first[id]) >= limitSettleTime && ls.at.Sub(begin) < lr.day.until {
				counted = append(counted, ls.at)
			}
			if ls.at.Sub(begin) < lr.day.until {
				during++
			} else if ls.at.Sub(begin) >= lr.day.until+limitWindow {
				after++
			}
		}
		first := 0
		for last := range counted {
			for counted[last].Sub(counted[first]) >= limitWindow {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	out := "within the limit"
	if most > allowed {
		out = fmt.Sprintf("%d requests within %s, %d allowed", most, limitWindow, allowed)
	}
	if want := int(lr.day.rate * float64(lr.day.engines) * lr.day.until.Seconds() / 2); during < min(want, lr.day.requests*int(lr.day.until.Seconds())/2) {
		out += fmt.Sprintf(", only %d requests, %d wanted", during, want)
	}
	if rest := limitDuration - lr.day.until - limitWindow; rest > 0 && after < lr.day.requests*int(rest.Seconds())/2 {
		out += fmt.Sprintf(", only %d requests after the limit has ended", after)
	}
	return out
}

// TestStatedLimitExceeded guards against entry VMs that together send an engine more
// requests than it says that it takes.
func TestStatedLimitExceeded(t *testing.T) {
	datadriven.RunTest(t, "testdata/limit", func(t *testing.T, td *datadriven.TestData) string {
		ld := limitDay{domains: 3, perDomain: 2, engines: 2, requests: 30, rate: 1}
		rate, untilS := 10, int(limitDuration.Seconds())
		td.MaybeScanArgs(t, "domains", &ld.domains)
		td.MaybeScanArgs(t, "perDomain", &ld.perDomain)
		td.MaybeScanArgs(t, "engines", &ld.engines)
		td.MaybeScanArgs(t, "requests", &ld.requests)
		td.MaybeScanArgs(t, "maxDelayMs", &ld.maxDelayMs)
		td.MaybeScanArgs(t, "restartS", &ld.restartS)
		td.MaybeScanArgs(t, "untilS", &untilS)
		td.MaybeScanArgs(t, "tenthsPerS", &rate)
		ld.rate, ld.until = float64(rate)/10, time.Duration(untilS)*time.Second
		return ld.run()
	})
}
