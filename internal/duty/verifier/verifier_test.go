package verifier_test

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/attributor"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/duty/verifier"
	"github.com/mulberrylever/mulberrylever/internal/state/attester"
	"github.com/mulberrylever/mulberrylever/internal/state/cataloger"
)

// dialing is an engine that can only be connected to.
type dialing struct {
	ml.Exchanger
	result ml.ConnectResult
	dials  *atomic.Int64
}

// Connect implements ml.Exchanger.
func (di dialing) Connect(context.Context, ml.ListedEndpoint) ml.ConnectResult {
	di.dials.Add(1)
	return di.result
}

// decoder decodes each record as a live engine.
type decoder struct{ cataloger.Decoder }

func (decoder) Domain(ml.KeyRecord) (ml.DomainID, bool)           { return "", false }
func (decoder) Part(ml.KeyRecord) (ml.PartID, ml.PartState, bool) { return "", ml.PartState{}, false }

func (decoder) Config(ml.KeyRecord) (ml.ServingConfig, bool, error) {
	return ml.ServingConfig{}, false, nil
}

func (decoder) Endpoint(re ml.KeyRecord) (ml.ListedEndpoint, bool, error) {
	return ml.ListedEndpoint{Endpoint: ml.Endpoint{ID: ml.EndpointID(re.Key), State: ml.StateLive}}, true, nil
}

// TestRefusedConnectionIsNoProof checks which reports of crashes are refuted: those of
// engines to which this entry VM can connect, and of those that the store goes on listing.
func TestRefusedConnectionIsNoProof(t *testing.T) {
	cases := []struct {
		name       string
		result     ml.ConnectResult
		age        time.Duration // of the crash when the report arrives
		isOwn      bool
		isUnlisted bool          // the store drops the engine 3 s after the report
		readUntil  time.Duration // after which the store no longer answers; 0 if it always does
		refutedIn  time.Duration
	}{
		{name: "connected", result: ml.ConnectOpened, isUnlisted: true, refutedIn: 100 * time.Millisecond},
		{name: "refused here as well", result: ml.ConnectRefused, isUnlisted: true},
		{name: "no answer", result: ml.ConnectFailed, isUnlisted: true},
		{name: "late report, another process may listen", result: ml.ConnectOpened, age: 2 * time.Second, isUnlisted: true},
		{name: "own report, not asked again", result: ml.ConnectOpened, isOwn: true, isUnlisted: true},
		{name: "listed, but the store was not read since", result: ml.ConnectRefused, readUntil: 4 * time.Second},
		{name: "refused everywhere, but listed", result: ml.ConnectRefused, refutedIn: 6500 * time.Millisecond},
	}
	for _, ca := range cases {
		t.Run(ca.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				catalog := &cataloger.Cataloger{Decoder: decoder{}, Log: log}
				li := attester.NewListing("t", ml.Position{Offset: 2}, time.Now())
				li.AddPage([]ml.KeyRecord{{Topic: "t", Key: "e", Value: []byte("x"), Offset: 1}}, true)
				catalog.ApplyListing(time.Now(), li)
				shared := &atomic.Int64{}
				ve := verifier.New()
				ve.Exchanger, ve.Catalog, ve.Attributor, ve.Log = dialing{result: ca.result, dials: &atomic.Int64{}}, catalog, &attributor.Attributor{}, log
				ve.Share = func(time.Time, ml.SharedCrash) { shared.Add(1) }
				go func() { _ = ve.Run(ctx) }()
				go func() {
					const interval = 100 * time.Millisecond
					for begin := time.Now(); ctx.Err() == nil && (ca.readUntil == 0 || time.Since(begin) < ca.readUntil); pacer.Sleep(ctx, interval) {
						catalog.ApplyRead(time.Now(), &attester.Read{Topic: "t", From: ml.Position{Offset: 2}, Next: ml.Position{Offset: 2}, End: 2, Current: time.Now()})
					}
				}()
				crash := ml.SharedCrash{Endpoint: "e", Parts: []ml.PartID{"p"}, AgeMs: ca.age.Milliseconds()}
				crashedAt := crash.At(time.Now())
				ve.Report(time.Now(), crash, ca.isOwn)
				if ca.refutedIn > 0 {
					time.Sleep(ca.refutedIn)
					g.Expect(ve.Attributor.IsRefuted("e", "", crashedAt)).To(gomega.BeTrue())
				}
				if ca.isUnlisted {
					time.Sleep(3 * time.Second)
					catalog.Merge(time.Now(), []ml.KeyRecord{{Topic: "t", Key: "e", Offset: 2}}, nil)
				}
				time.Sleep(10 * time.Second)
				g.Expect(ve.Attributor.IsRefuted("e", "", crashedAt)).To(gomega.Equal(ca.refutedIn > 0))
				g.Expect(shared.Load()).To(gomega.BeNumerically("==", map[bool]int{true: 1}[ca.refutedIn > 0]))
				cancel()
				synctest.Wait()
			})
		})
	}
}
