package follower_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/follower"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// pages is a log whose reads return one record each second, of which some are left.
type pages struct {
	ml.Log
	left atomic.Int64 // records after each page
}

// Read implements ml.Log.
func (pa *pages) Read(_ context.Context, from ml.Offset, _ time.Duration) (ml.LogPage, error) {
	time.Sleep(time.Second)
	return ml.LogPage{First: 1, Next: from + 1, End: from + 1 + ml.Offset(pa.left.Load())}, nil
}

// TestHealthyAtTheEnd guards against a part of the log that is taken for all of it: an entry VM that
// reads and never reaches the end doesn't know the newest claims.
func TestHealthyAtTheEnd(t *testing.T) {
	for left, want := range map[int64]bool{0: true, 1: false} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			source := &pages{}
			fo := follower.New(source, &keeper.Keeper{}, slog.New(slog.DiscardHandler))
			done := make(chan error, 1)
			go func() { done <- fo.Run(ctx) }()
			defer func() {
				cancel()
				g.Expect(<-done).To(gomega.MatchError(context.Canceled))
			}()
			time.Sleep(1500 * time.Millisecond)
			g.Expect(fo.Healthy(time.Now())).To(gomega.BeTrue())
			source.left.Store(left)
			time.Sleep(10 * time.Second)
			g.Expect(fo.Healthy(time.Now())).To(gomega.Equal(want), "%d records are left", left)
		})
	}
}
