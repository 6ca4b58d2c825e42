package forwarder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
)

// heldMemory is memory that was reserved at an engine.
type heldMemory struct {
	since, until time.Time // until it is released, or lapses
}

// holdFaults tells what is wrong with engines that reserve memory.
type holdFaults struct {
	isHelperHung, isAnswerLost, isReleaseLost, isReportHung bool
	use                                                     ml.HoldUse // that they report
}

// holdingExchanger stands for engines that reserve memory. The lead that gets a prompt hangs.
type holdingExchanger struct {
	silentExchanger
	holdFaults

	mu    sync.Mutex
	holds map[ml.HoldID]heldMemory
}

// ReserveMemory implements ml.Exchanger.
func (he *holdingExchanger) ReserveMemory(ctx context.Context, _ ml.ListedEndpoint, id ml.HoldID, _ ml.Tokens, term time.Duration) error {
	he.mu.Lock()
	isHung := he.isHelperHung && len(he.holds) > 0
	if !isHung {
		hm := he.holds[id]
		if hm.since.IsZero() {
			hm.since = time.Now()
		}
		hm.until = time.Now().Add(term)
		he.holds[id] = hm
	}
	he.mu.Unlock()
	if isHung || he.isAnswerLost {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// ReleaseMemory implements ml.Exchanger.
func (he *holdingExchanger) ReleaseMemory(_ context.Context, _ ml.ListedEndpoint, id ml.HoldID) error {
	if he.isReleaseLost {
		return errors.New("no answer")
	}
	he.mu.Lock()
	defer he.mu.Unlock()
	if hm, found := he.holds[id]; found {
		hm.until = time.Now()
		he.holds[id] = hm
	}
	return nil
}

// HoldUse implements ml.Exchanger.
func (he *holdingExchanger) HoldUse(ctx context.Context, _ ml.ListedEndpoint, _ ml.HoldID) (ml.HoldUse, error) {
	if he.isReportHung {
		<-ctx.Done()
		return ml.HoldUseUnknown, ctx.Err()
	}
	return he.use, nil
}

// longest returns the longest time for which memory was reserved.
func (he *holdingExchanger) longest() time.Duration {
	he.mu.Lock()
	defer he.mu.Unlock()
	longest := time.Duration(0)
	for hm := range maps.Values(he.holds) {
		longest = max(longest, hm.until.Sub(hm.since))
	}
	return longest
}

// split returns a request whose prompt needs the memory of two engines.
func split() *Request {
	rq := request(16)
	rq.Prompt = 150_000
	return rq
}

// newHoldingForwarder returns an entry VM before some engines that reserve memory.
func newHoldingForwarder(ctx context.Context, he *holdingExchanger, engines ...string) *Forwarder {
	he.silentExchanger, he.holds = silentExchanger{&atomic.Int64{}, &atomic.Int64{}}, make(map[ml.HoldID]heldMemory)
	fo := newForwarder(ctx, "vm", he.sent)
	fo.Exchanger, fo.MaxHoldIdle = he, 9*time.Second
	for i, id := range engines {
		fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: id, Value: []byte("x"), Offset: ml.Offset(i + 1)}}, nil)
	}
	return fo
}

// TestUnusedMemoryIsGivenBack guards against memory that stays reserved at helpers although no
// request uses it, for each way in which a prompt may leave its engines.
func TestUnusedMemoryIsGivenBack(t *testing.T) {
	const freeTime = 4 * time.Second // within which memory must be free after its request has ended
	const actAfter = 2 * time.Second
	scheduler := atomic.Value{} // that is asked; it does not reply
	hung := holdFaults{use: ml.HoldUnused}
	addEngine := func(fo *Forwarder, _, _ context.CancelFunc) {
		time.Sleep(2 * time.Second) // after the watchdog has found no place
		fo.Catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "late", Value: []byte("x"), Offset: 9}}, nil)
	}
	tests := map[string]struct {
		faults  holdFaults
		engines []string
		act     func(fo *Forwarder, leave, stop context.CancelFunc) // after actAfter
		longest time.Duration
		sends   int64
	}{
		"the lead hangs":              {hung, []string{"e1"}, addEngine, 9 * time.Second, 2},
		"and there is no place":       {hung, []string{"e1"}, nil, 9 * time.Second, 1},
		"it does not report":          {holdFaults{}, []string{"e1"}, addEngine, 9 * time.Second, 2},
		"the release is lost":         {holdFaults{use: ml.HoldUnused, isReleaseLost: true}, []string{"e1"}, addEngine, 9 * time.Second, 2},
		"nothing is answered":         {holdFaults{isReportHung: true, isReleaseLost: true}, []string{"e1"}, nil, 9 * time.Second, 1},
		"a helper hangs":              {holdFaults{isHelperHung: true}, []string{"e1", "e2", "e3"}, nil, holdCallTimeout + time.Second, 0},
		"the order's answer is lost":  {holdFaults{isAnswerLost: true}, []string{"e1"}, nil, holdCallTimeout + time.Second, 0},
		"the stream moves":            {hung, []string{"e1", "e2"}, nil, 9 * time.Second, 2},
		"the caller leaves":           {hung, []string{"e1"}, func(_ *Forwarder, leave, _ context.CancelFunc) { leave() }, actAfter + freeTime, 1},
		"the process stops":           {hung, []string{"e1"}, func(_ *Forwarder, _, stop context.CancelFunc) { stop() }, actAfter + freeTime, 1},
		"the caller and the order go": {holdFaults{use: ml.HoldUnused, isReleaseLost: true}, []string{"e1"}, func(_ *Forwarder, leave, _ context.CancelFunc) { leave() }, actAfter + freeTime, 1},
		"the scheduler is lost":       {hung, []string{"e1", "e2"}, func(*Forwarder, context.CancelFunc, context.CancelFunc) { scheduler.Store("gone") }, 9 * time.Second, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				he := &holdingExchanger{holdFaults: tt.faults}
				fo := newHoldingForwarder(ctx, he, tt.engines...)
				sf := &scheduledFleet{silent: map[string]bool{"gone": true}}
				fo.Schedulers, fo.SchedulerFailed = sf, func(string, error) {}
				scheduler.Store("")
				fo.Scheduler = func(time.Time) (string, bool) { return scheduler.Load().(string), false }
				ending, stop := context.WithCancel(context.Background())
				fo.Ending = ending
				defer synctest.Wait()
				defer cancel()
				defer stop()
				rqCtx, leave := context.WithCancel(ctx)
				rq := split()
				if he.isHelperHung {
					rq.Prompt = 250_000 // two helpers
				}
				go fo.Forward(rqCtx, rq, discardResponder{})
				time.Sleep(actAfter)
				if tt.act != nil {
					tt.act(fo, leave, stop)
				}
				time.Sleep(9 * time.Second)
				g.Expect(he.sent.Load()).To(gomega.Equal(tt.sends), "a hung lead's request gets another chance while its caller waits")
				leave()
				time.Sleep(9 * time.Second)
				g.Expect(he.longest()).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", tt.longest)))
			})
		})
	}
}

// TestUsedMemoryIsKept checks that a long prompt whose engines read it is not given up, however
// long they take.
func TestUsedMemoryIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		he := &holdingExchanger{holdFaults: holdFaults{use: ml.HoldUsed}}
		fo := newHoldingForwarder(ctx, he, "e1")
		go fo.Forward(ctx, split(), discardResponder{})
		time.Sleep(20 * time.Second)
		g.Expect(he.sent.Load()).To(gomega.Equal(int64(1)))
		g.Expect(he.cancelled.Load()).To(gomega.BeZero())
		g.Expect(he.longest()).To(gomega.BeNumerically(">", 19*time.Second))
		cancel()
		synctest.Wait()
	})
}
