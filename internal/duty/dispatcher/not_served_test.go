package dispatcher

import (
	"testing"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// TestModelMissingInAnOldList guards against telling a caller that a model doesn't exist, by
// an entry VM whose list of VMs may be behind.
func TestModelMissingInAnOldList(t *testing.T) {
	now := time.Now()
	for name, ca := range map[string]struct {
		confirmedAt time.Time
		listed      bool
		want        ml.ErrorType
	}{
		"never read":        {want: ml.ErrUnavailable},
		"old":               {confirmedAt: now.Add(-maxListAge - time.Millisecond), want: ml.ErrUnavailable},
		"new":               {confirmedAt: now.Add(-maxListAge), want: ml.ErrNotFound},
		"new, out of order": {confirmedAt: now, listed: true, want: ml.ErrUnavailable},
	} {
		di := &Dispatcher{Keeper: &keeper.Keeper{}}
		di.Keeper.SetVMs(ml.VMs{Endpoints: []ml.Endpoint{{ID: "e", Model: "m"}}})
		if !ca.confirmedAt.IsZero() {
			di.Keeper.ConfirmVMs(ca.confirmedAt)
		}
		err := di.notServed(now, func(ml.Endpoint) bool { return ca.listed }, "no engine serves it")
		if got := ml.TypeOf(err); got != ca.want {
			t.Errorf("%s: %s, want %s", name, got, ca.want)
		}
	}
}
