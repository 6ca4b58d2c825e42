package owner

import (
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/granter"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// ownsAll is the membership of an entry VM that owns all endpoints.
type ownsAll struct{}

func (ownsAll) MayGrant(time.Time, ml.EndpointID) bool { return true }
func (ownsAll) OwnedEndpoints(time.Time) []ml.Endpoint { return nil }

// newGranter returns the granter of a service that takes one request at a time.
func newGranter() *endpointGranter {
	ep := ml.Endpoint{ID: "e", Kind: ml.KindService, MaxRequests: 1, ColdRequests: 1}
	return &endpointGranter{
		owner: &Owner{Membership: ownsAll{}, Keeper: &keeper.Keeper{}, Auditor: &auditor.Auditor{}, Log: slog.New(slog.DiscardHandler)}, endpoint: ep,
		granter: granter.New(ep, ml.DefaultTiming(), 1), pending: make(map[ml.GrantID]chan ml.Grant),
	}
}

// TestWaitTimesOut guards against a request that is refused for good after it has waited at one
// endpoint for as long as others were there, which are gone when it comes to them: the answer must
// let its holder come back and wait until the deadline.
func TestWaitTimesOut(t *testing.T) {
	for _, tc := range []struct {
		name             string
		maxPredictedWait time.Duration
		want             ml.ErrorType
	}{
		{"other endpoints are left", time.Second, ml.ErrBusy},
		{"none is left", 0, ml.ErrOverloaded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			eg := newGranter()
			re := ml.Reservation{ID: "r1", Endpoint: "e", DeadlineMs: 60_000, GrantTimeoutMs: 20, MaxPredictedWaitMs: tc.maxPredictedWait.Milliseconds()}
			g.Expect(eg.reserve(t.Context(), re).Granted).To(gomega.BeTrue())
			re.ID = "r2"
			gr := eg.reserve(t.Context(), re)
			g.Expect(gr.Type).To(gomega.Equal(tc.want), gr.Reason)
			g.Expect(gr.RetryAfterMs > 0).To(gomega.Equal(tc.want == ml.ErrBusy), "the wait that is predicted")
			g.Expect(eg.granter.Load(time.Now()).Waiting).To(gomega.BeZero())
		})
	}
}
