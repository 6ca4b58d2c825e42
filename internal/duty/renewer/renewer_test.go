package renewer_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/mulberrylever/mulberrylever/internal/duty/renewer"
)

// The platform's bounds: a change is in force after applyTime, and stabilityWindow after the
// store is well again.
const (
	applyTime, stabilityWindow = 2 * time.Second, 3 * time.Second
	maxAge                     = applyTime * 3 / 4
	margin                     = 250 * time.Millisecond
	callTimeout                = 1200 * time.Millisecond // of a call to the store
	answerTime                 = 50 * time.Millisecond   // of a store that is well
)

var errAway = errors.New("the store does not answer")

// store is the platform's store as one entry VM sees it.
type store struct {
	hangTime time.Duration // of reads that fail

	mu          sync.Mutex
	isAway      bool // reads fail
	confirmedAt time.Time
	reads       int // that were sent
	announced   int
}

func (st *store) read(ctx context.Context) error {
	sentAt, isAway, took := time.Now(), st.begin(), answerTime
	if isAway {
		took = st.hangTime
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(took):
	}
	if isAway {
		return errAway
	}
	st.confirm(sentAt)
	return nil
}

// confirm records a confirmation, unless a newer one is known.
func (st *store) confirm(at time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if at.After(st.confirmedAt) {
		st.confirmedAt = at
	}
}

// begin counts a read and reports whether it will fail.
func (st *store) begin() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.reads++
	return st.isAway
}

// set changes the store, or what is known of it.
func (st *store) set(change func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	change()
}

func (st *store) at() time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.confirmedAt
}

func (st *store) start(ctx context.Context) {
	re := &renewer.Renewer{
		Topic: "t", ConfirmedAt: st.at, Read: st.read, OnRead: func() { st.set(func() { st.announced++ }) },
		MaxAge: maxAge, Log: slog.New(slog.DiscardHandler),
	}
	go func() { _ = re.Run(ctx) }()
}

// TestAgeIsBounded checks that, whatever confirmations come from others, and however long the
// store was away, what is known of it is never older than applyTime while it answers, and
// no older than stabilityWindow after it does so again. The margin is for the way of the news.
func TestAgeIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hangTime := rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, callTimeout}).Draw(rt, "hangTime")
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 40).Draw(rt, "steps")
		pauses := rapid.SliceOfN(rapid.IntRange(1, 2000), len(steps), len(steps)).Draw(rt, "pauses")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			st := &store{hangTime: hangTime, confirmedAt: time.Now()}
			st.start(ctx)
			wellSince := time.Now().Add(-time.Hour)
			for i, step := range steps {
				switch step {
				case 0:
					st.set(func() { st.isAway = true })
				case 1:
					if st.isAway {
						wellSince = time.Now()
						st.set(func() { st.isAway = false })
					}
				case 2: // by another entry VM
					st.confirm(time.Now().Add(-100 * time.Millisecond))
				}
				for end := time.Now().Add(time.Duration(pauses[i]) * time.Millisecond); time.Now().Before(end); {
					time.Sleep(10 * time.Millisecond)
					synctest.Wait()
					if age := time.Since(st.at()); !st.isAway && time.Since(wellSince) >= stabilityWindow-margin && age > applyTime-margin {
						rt.Fatalf("the confirmation is %s old, and the store is well for %s", age, time.Since(wellSince))
					}
				}
			}
		})
	})
}

// TestNoReadWhileConfirmed checks that nothing is read while another entry VM confirms, and how
// many calls a store costs that does not answer.
func TestNoReadWhileConfirmed(t *testing.T) {
	const minute, retryInterval = 60, 1856 * time.Millisecond // in the mean
	t.Run("confirmed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			st := &store{confirmedAt: time.Now()}
			st.start(ctx)
			for range minute {
				time.Sleep(time.Second)
				st.confirm(time.Now().Add(-400 * time.Millisecond))
			}
			st.set(func() { g.Expect(st.reads).To(gomega.BeZero()) })
		})
	})
	for name, hangTime := range map[string]time.Duration{"refuses": 0, "silent": callTimeout} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				st := &store{isAway: true, hangTime: hangTime}
				st.start(ctx)
				time.Sleep(minute * time.Second)
				st.set(func() {
					g.Expect(st.reads).To(gomega.BeNumerically("~", minute*time.Second/retryInterval, 5))
					g.Expect(st.announced).To(gomega.BeZero())
				})
			})
		})
	}
}

// TestFewReadAtOnce guards against a share of the fleet that reads the store in the same moment: however
// many entry VMs learn from each other, few have begun when they hear of the first that has read.
func TestFewReadAtOnce(t *testing.T) {
	const rounds, newsTime, maxReads = 100, 30 * time.Millisecond, 18 // in the mean of a round
	for _, n := range []int{5, 22, 44, 65, 190} {
		t.Run(fmt.Sprintf("%d entry VMs", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				stores := make([]*store, n)
				for i := range stores {
					stores[i] = &store{confirmedAt: time.Now()}
				}
				for _, st := range stores {
					st.startAmong(ctx, stores, newsTime)
				}
				time.Sleep(rounds * maxAge)
				reads := 0
				for _, st := range stores {
					st.set(func() { reads += st.reads })
				}
				t.Logf("%d reads in %d rounds", reads, rounds)
				g.Expect(reads).To(gomega.BeNumerically("<=", rounds*maxReads))
			})
		})
	}
}

// startAmong starts a renewer from which others hear what it has confirmed, after a time.
func (st *store) startAmong(ctx context.Context, others []*store, newsTime time.Duration) {
	re := &renewer.Renewer{
		Topic: "t", ConfirmedAt: st.at, Read: st.read, MaxAge: maxAge, Log: slog.New(slog.DiscardHandler),
		Peers: func() int { return len(others) - 1 },
	}
	re.OnRead = func() {
		at := st.at()
		time.AfterFunc(newsTime, func() {
			for _, other := range others {
				other.confirm(at)
			}
		})
	}
	go func() { _ = re.Run(ctx) }()
}
