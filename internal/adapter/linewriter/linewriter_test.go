package linewriter_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/adapter/linewriter"
)

// blockedOutput is an output whose writes block until it is released.
type blockedOutput struct{ release chan struct{} }

func (bo blockedOutput) Write([]byte) (int, error) {
	<-bo.release
	return 0, errors.New("closed")
}

// TestBlockedOutput checks that an output that blocks does not block the code that
// logs, and that dropped lines are counted.
func TestBlockedOutput(t *testing.T) {
	g := gomega.NewWithT(t)
	out := blockedOutput{make(chan struct{})}
	wr := linewriter.New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- wr.Run(ctx) }()
	log := slog.New(slog.NewJSONHandler(wr, nil))
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for i := range 20_000 {
			log.Info("a line", "n", i)
		}
	}()
	g.Eventually(logged, "5s").Should(gomega.BeClosed())
	g.Expect(wr.Dropped()).To(gomega.BeNumerically(">", 15_000))
	close(out.release)
	cancel()
	g.Eventually(done, "5s").Should(gomega.Receive(gomega.MatchError(context.Canceled)))
}

// TestBudget checks that lines beyond the byte budget are dropped and counted, and
// that queued lines are still written after ctx has ended.
func TestBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &bytes.Buffer{}
	wr := linewriter.New(out)
	line := bytes.Repeat([]byte("x"), 300<<10)
	for range 5 {
		n, err := wr.Write(line)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(len(line)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	g.Expect(wr.Run(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(out.Len()).To(gomega.Equal(3 * len(line)))
	g.Expect(wr.Dropped()).To(gomega.Equal(int64(2)))
}
