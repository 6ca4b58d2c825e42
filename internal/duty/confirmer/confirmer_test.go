package confirmer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/duty/confirmer"
)

const maxAge = 500 * time.Millisecond

// store is a store whose reads take a time and may fail.
type store struct {
	took time.Duration
	err  error

	mu          sync.Mutex
	confirmedAt time.Time
	reads       int
}

func (st *store) read(ctx context.Context) error {
	sentAt := time.Now()
	st.mu.Lock()
	st.reads++
	st.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(st.took):
	}
	if st.err != nil {
		return st.err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.confirmedAt = sentAt
	return nil
}

func (st *store) at() time.Time {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.confirmedAt
}

func (st *store) confirmer() *confirmer.Confirmer {
	return &confirmer.Confirmer{ConfirmedAt: st.at, Read: st.read, MaxAge: maxAge}
}

// TestConfirm checks that a configuration is confirmed by a read that was sent no longer
// than MaxAge before the call, and by nothing else.
func TestConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := &store{took: 4 * time.Millisecond}
		co := st.confirmer()
		g.Expect(co.Confirm(t.Context(), time.Now())).To(gomega.BeTrue())
		g.Expect(co.Confirm(t.Context(), time.Now())).To(gomega.BeTrue())
		g.Expect(st.reads).To(gomega.Equal(1), "a recent confirmation is used again")
		time.Sleep(maxAge)
		st.err = errors.New("away")
		g.Expect(co.Confirm(t.Context(), time.Now())).To(gomega.BeFalse())
		st.err = nil
		g.Expect(co.Confirm(t.Context(), time.Now())).To(gomega.BeFalse(), "right after a failure the store is not asked")
		g.Expect(st.reads).To(gomega.Equal(2))
		time.Sleep(maxAge)
		g.Expect(co.Confirm(t.Context(), time.Now())).To(gomega.BeTrue())
	})
}

// TestConfirmSilentStore checks that a call doesn't wait long for a store that is silent,
// and that an answer that comes after a freeze confirms nothing.
func TestConfirmSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := &store{took: time.Hour}
		co := st.confirmer()
		start := time.Now()
		g.Expect(co.Confirm(t.Context(), start)).To(gomega.BeFalse())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", maxAge))
		st.mu.Lock()
		st.confirmedAt = time.Now()
		st.mu.Unlock()
		g.Expect(co.Confirm(t.Context(), time.Now().Add(time.Minute))).To(gomega.BeFalse(), "confirmed before the entry VM was frozen")
	})
}

// TestConfirmAfterReadOfAnother checks that a call that joins a read that was sent before its
// time has another one sent.
func TestConfirmAfterReadOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &store{took: 50 * time.Millisecond}
		co := st.confirmer()
		go co.ConfirmSince(t.Context(), time.Now())
		time.Sleep(time.Millisecond)
		if !co.ConfirmSince(t.Context(), time.Now()) {
			t.Error("not confirmed")
		}
		if st.reads != 2 {
			t.Errorf("%d reads", st.reads)
		}
	})
}

// TestConfirmAfterSuspension guards against a confirmation that is taken to be recent, since
// the steady clock stood still while the VM was suspended, or the time of day was set back.
func TestConfirmAfterSuspension(t *testing.T) {
	confirmedAt := time.Now()
	for name, now := range map[string]time.Time{
		"suspended":          setTimeOfDay(confirmedAt, time.Minute),
		"awake and set back": setTimeOfDay(confirmedAt.Add(time.Minute), -time.Minute),
	} {
		st := &store{confirmedAt: confirmedAt, err: errors.New("away")}
		if st.confirmer().Confirm(t.Context(), now) {
			t.Errorf("%s: confirmed, %s later by the steady clock", name, now.Sub(confirmedAt))
		}
	}
}

// setTimeOfDay returns a time whose time of day is later than its steady clock says. Package
// time has no way to make one; this is its layout.
func setTimeOfDay(at time.Time, later time.Duration) time.Time {
	type parts struct {
		wall uint64
		ext  int64
		loc  *time.Location
	}
	pa := (*parts)(unsafe.Pointer(&at))
	const nanosecondBits = 30
	pa.wall += uint64(int64(later/time.Second) << nanosecondBits)
	return at
}

// TestConfirmTogether checks that concurrent calls share one read.
func TestConfirmTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := &store{took: 50 * time.Millisecond}
		co := st.confirmer()
		wg := sync.WaitGroup{}
		for range 100 {
			wg.Go(func() {
				if !co.Confirm(t.Context(), time.Now()) {
					t.Error("not confirmed")
				}
			})
		}
		wg.Wait()
		g.Expect(st.reads).To(gomega.Equal(1))
	})
}
