package pacer_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
)

// TestEvery checks that the step is called until the context ends, and that Every
// then returns the context's error.
func TestEvery(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	err := pacer.Every(ctx, time.Millisecond, func(now time.Time) {
		g.Expect(now).NotTo(gomega.BeZero())
		if calls++; calls == 3 {
			cancel()
		}
	})
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(calls).To(gomega.BeNumerically("<=", 4)) // the ticker may have fired once more before ctx was checked
}
