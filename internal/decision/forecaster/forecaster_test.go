package forecaster_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

var start = time.Unix(1000, 0)

func flight(id ml.FlightID, sent, prefill time.Duration, partial bool) ml.Flight {
	return ml.Flight{ID: id, SentAt: start.Add(sent), PrefillTime: prefill, Partial: partial}
}

// TestPrefillOrder checks that whole prompts are prefilled in the order of their
// arrival, and that parts go ahead of everything queued, the newest first.
func TestPrefillOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	es := forecaster.Predict(start.Add(500*time.Millisecond), []ml.Flight{
		flight("whole", 0, time.Second, false),
		flight("next", 100*time.Millisecond, time.Second, false),
		flight("old part", 200*time.Millisecond, 400*time.Millisecond, true),
		flight("new part", 300*time.Millisecond, 300*time.Millisecond, true),
	})
	done := map[ml.FlightID]time.Duration{}
	for _, pp := range es.Pending {
		done[pp.Flight.ID] = pp.DoneAt.Sub(start)
	}
	g.Expect(done).To(gomega.Equal(map[ml.FlightID]time.Duration{
		"new part": 600 * time.Millisecond, "old part": 900 * time.Millisecond, "whole": 1700 * time.Millisecond, "next": 2700 * time.Millisecond,
	}))
	g.Expect(es.PrefillDoneAt).To(gomega.Equal(start.Add(2700 * time.Millisecond)))
	g.Expect(es.UsedSlots()).To(gomega.Equal(4))
}

// TestOverduePrefill checks that an overdue prefill still adds a little to the
// backlog, and that a flight with a first event adds nothing.
func TestOverduePrefill(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start.Add(5 * time.Second)
	decoding := flight("decoding", 0, time.Second, false)
	decoding.FirstEventAt, decoding.Memory = start.Add(time.Second), 7000
	es := forecaster.Predict(now, []ml.Flight{decoding, flight("overdue", 0, time.Second, false)})
	g.Expect(es.Decoding).To(gomega.HaveLen(1))
	g.Expect(es.Context).To(gomega.Equal(ml.Tokens(7000)))
	g.Expect(es.Backlog(now)).To(gomega.Equal(200 * time.Millisecond))
	idle := forecaster.Predict(now, nil)
	g.Expect(idle.Backlog(now)).To(gomega.BeZero())
}

// TestPrefillTime checks the predicted times against the profile, and that the
// parts of a prompt together take as long as the whole.
func TestPrefillTime(t *testing.T) {
	g := gomega.NewWithT(t)
	pr := &ml.EngineProfile{Chunk: 2000, StepsPerPass: 50, Step: time.Millisecond, PrefillRate: 100_000, PrefillPerMillionPairs: 200 * time.Microsecond}
	whole := forecaster.PrefillTime(pr, 100_000, 1)
	g.Expect(whole).To(gomega.Equal(2050 * time.Millisecond)) // tokens 1 s, pairs 1 s, steps 50 ms
	g.Expect(4 * forecaster.PrefillTime(pr, 100_000, 4)).To(gomega.Equal(whole))
	g.Expect(forecaster.PassTime(pr, 8, 0)).To(gomega.Equal(50 * time.Millisecond))
	g.Expect(forecaster.MaxPrefillPerPass(pr, 200_000, whole)).To(gomega.Equal(whole / 2))
	g.Expect(forecaster.MaxPrefillPerPass(pr, 50_000, whole)).To(gomega.Equal(whole))
}
