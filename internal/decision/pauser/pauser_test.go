package pauser_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/pauser"
)

// TestLeft compares the pause that is left with the longest that any answer has asked for,
// for each incarnation of an endpoint, whatever is pruned.
func TestLeft(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pa := pauser.Pauser{}
		now := time.Unix(1000, 0)
		until, current := time.Time{}, ml.Incarnation("1")
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "passed")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"ask", "restart", "prune"}).Draw(rt, "step") {
			case "ask":
				duration := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "duration")) * time.Millisecond
				pa.Record(now, "e", current, duration)
				if end := now.Add(duration); end.After(until) {
					until = end
				}
			case "restart":
				current, until = current+"1", time.Time{}
			case "prune":
				pa.Prune(now)
			}
			want := max(until.Sub(now), 0)
			if got := pa.Left(now, "e", current); got != want {
				rt.Fatalf("%s left, want %s", got, want)
			}
			if pa.Left(now, "e", "another") != 0 || pa.Left(now, "f", current) != 0 {
				rt.Fatal("a pause holds for another endpoint")
			}
		}
	})
}
