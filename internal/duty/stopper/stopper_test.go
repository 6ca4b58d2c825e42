package stopper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrylever/mulberrylever/internal/duty/stopper"
)

// TestSteps checks the steps of a stop and their times, which count from the signal.
func TestSteps(t *testing.T) {
	for _, ago := range []time.Duration{0, time.Second, 4 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			st := stopper.New(3*time.Second, 7*time.Second)
			g.Expect(st.IsStopping()).To(gomega.BeFalse())
			g.Expect(st.RefusesNew()).To(gomega.BeFalse())
			st.Signal(time.Now(), time.Now().Add(-ago))
			st.Signal(time.Now(), time.Now()) // no effect
			for since := ago; since < 10*time.Second; since += 500 * time.Millisecond {
				synctest.Wait()
				g.Expect(st.IsStopping()).To(gomega.BeTrue())
				g.Expect(st.RefusesNew()).To(gomega.Equal(since >= 3*time.Second), "after %s", since)
				g.Expect(st.Ending().Err() != nil).To(gomega.Equal(since >= 7*time.Second), "after %s", since)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
}
