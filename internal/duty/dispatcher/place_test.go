package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

const self = ml.VMID("self")

// fakeVM is an entry VM that owns all endpoints of a script. It implements
// the interfaces through which the holder and the dispatcher reach the routing
// table and the owners.
type fakeVM struct {
	table   *router.Table
	answers map[ml.EndpointID][]ml.Grant // in the order of the requests
	asked   []string                     // one line for each reservation
}

func (fv *fakeVM) WithTable(use func(ta *router.Table))          { use(fv.table) }
func (fv *fakeVM) PeerAddress(ml.VMID) string                    { return "" }
func (fv *fakeVM) Owner(ml.Endpoint, time.Time, ml.VMID) ml.VMID { return self }
func (fv *fakeVM) OnGrantEvents([]ml.GrantEvent)                 {}
func (fv *fakeVM) MaxAge(time.Time, ml.VMID, time.Duration) (age time.Duration, ok bool) {
	return 0, true
}

func (fv *fakeVM) OnReserve(_ context.Context, re ml.Reservation) ml.Grant {
	bound := "any wait"
	if re.MaxPredictedWaitMs > 0 {
		bound = fmt.Sprintf("most %d ms", re.MaxPredictedWaitMs)
	}
	fv.asked = append(fv.asked, fmt.Sprintf("asked %s, %s", re.Endpoint, bound))
	answers := fv.answers[re.Endpoint]
	fv.answers[re.Endpoint] = answers[1:]
	return answers[0]
}

// TestPlace runs the scripts in testdata. Each gives the owners' answers and the
// expected placement or refusal.
func TestPlace(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			fv := &fakeVM{table: router.NewTable("d", router.Predicted{}, 4, 1), answers: make(map[ml.EndpointID][]ml.Grant)}
			for _, line := range strings.Split(td.Input, "\n") {
				fv.addEndpoint(t, td.Pos, line)
			}
			di := &Dispatcher{Self: self, Routes: fv, Keeper: &keeper.Keeper{}}
			di.Holder = holder.New(t.Context(), self, ml.DefaultTiming())
			di.Holder.Directory, di.Holder.Owner = fv, fv
			rq := &Request{ID: "r", Deadline: time.Now().Add(time.Minute)}
			he, err := di.placeOne(t.Context(), rq, router.Request{Model: "m", Prompt: 1000, Memory: 1000}, nil)
			return strings.Join(append(fv.asked, formatOutcome(he, err)), "\n")
		})
	})
}

// addEndpoint parses a line of a script: an endpoint, the number of requests in
// its known load, and the answers of its owner.
func (fv *fakeVM) addEndpoint(t *testing.T, pos, line string) {
	fields := strings.Fields(line)
	lo := ml.EndpointLoad{Window: 32, PrefillRate: 100_000}
	if _, err := fmt.Sscan(fields[1], &lo.Requests); err != nil {
		t.Fatalf("%s: %v", pos, err)
	}
	id := ml.EndpointID(fields[0])
	fv.table.Update(time.Now(), ml.Endpoint{ID: id, Domain: "d", Kind: ml.KindEngine, Model: "m", Memory: 400_000}, self, lo)
	for _, text := range fields[2:] {
		gr := ml.Grant{Granted: text == "granted", Reason: text}
		if name, wait, found := strings.Cut(text, ":"); found {
			text = name
			if _, err := fmt.Sscan(wait, &gr.RetryAfterMs); err != nil {
				t.Fatalf("%s: %v", pos, err)
			}
		}
		gr.Type = ml.ErrorType(text)
		fv.answers[id] = append(fv.answers[id], gr)
	}
}

func formatOutcome(he *holder.HeldGrant, err error) string {
	var er *ml.Error
	if errors.As(err, &er) {
		return fmt.Sprintf("refused: %s, not run: %t", er.Type, er.NotRun)
	}
	return "placed at " + string(he.Endpoint.ID)
}
