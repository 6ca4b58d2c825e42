package forecaster_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

var start = time.Unix(1000, 0)

func flight(id ml.FlightID, sent, reading time.Duration, part bool) ml.Flight {
	return ml.Flight{ID: id, SentAt: start.Add(sent), PrefillTime: reading, Partial: part}
}

// TestOrder checks that whole prompts are read one after the other and that a
// part goes ahead of all that the engine has, the newest first.
func TestOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	en := forecaster.At(start.Add(500*time.Millisecond), []ml.Flight{
		flight("whole", 0, time.Second, false),
		flight("next", 100*time.Millisecond, time.Second, false),
		flight("old part", 200*time.Millisecond, 400*time.Millisecond, true),
		flight("new part", 300*time.Millisecond, 300*time.Millisecond, true),
	})
	done := map[ml.FlightID]time.Duration{}
	for _, re := range en.Readers {
		done[re.Flight.ID] = re.Done.Sub(start)
	}
	g.Expect(done).To(gomega.Equal(map[ml.FlightID]time.Duration{
		"new part": 600 * time.Millisecond, "old part": 900 * time.Millisecond, "whole": 1700 * time.Millisecond, "next": 2700 * time.Millisecond,
	}))
	g.Expect(en.Free).To(gomega.Equal(start.Add(2700 * time.Millisecond)))
	g.Expect(en.Running()).To(gomega.Equal(4))
}

// TestOverdue checks that a prompt which should have been read counts for a
// little more, and one whose answer has begun for nothing.
func TestOverdue(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start.Add(5 * time.Second)
	begun := flight("begun", 0, time.Second, false)
	begun.FirstEventAt, begun.Memory = start.Add(time.Second), 7000
	en := forecaster.At(now, []ml.Flight{begun, flight("late", 0, time.Second, false)})
	g.Expect(en.Writers).To(gomega.HaveLen(1))
	g.Expect(en.Context).To(gomega.Equal(ml.Tokens(7000)))
	g.Expect(en.Backlog(now)).To(gomega.Equal(200 * time.Millisecond))
	idle := forecaster.At(now, nil)
	g.Expect(idle.Backlog(now)).To(gomega.BeZero())
}

// TestReading checks the sums against the figures: parts together take what the
// whole does.
func TestReading(t *testing.T) {
	g := gomega.NewWithT(t)
	fi := &ml.EngineProfile{Chunk: 2000, StepsPerPass: 50, Step: time.Millisecond, PrefillRate: 100_000, PrefillPerMillionPairs: 200 * time.Microsecond}
	whole := forecaster.PrefillTime(fi, 100_000, 1)
	g.Expect(whole).To(gomega.Equal(2050 * time.Millisecond)) // tokens 1 s, pairs 1 s, steps 50 ms
	g.Expect(4 * forecaster.PrefillTime(fi, 100_000, 4)).To(gomega.Equal(whole))
	g.Expect(forecaster.Pass(fi, 8, 0)).To(gomega.Equal(50 * time.Millisecond))
	g.Expect(forecaster.MostRead(fi, 200_000, whole)).To(gomega.Equal(whole / 2))
	g.Expect(forecaster.MostRead(fi, 50_000, whole)).To(gomega.Equal(whole))
}
