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

// scene is an entry VM that owns all endpoints of a script. It implements
// what the holder and the dispatcher ask of membership and owner.
type scene struct {
	table   *router.Table
	answers map[ml.EndpointID][]ml.Grant // in turn
	asked   []string
}

func (sc *scene) WithTable(use func(ta *router.Table))          { use(sc.table) }
func (sc *scene) PeerAddress(ml.VMID) string                    { return "" }
func (sc *scene) Owner(ml.Endpoint, time.Time, ml.VMID) ml.VMID { return self }
func (sc *scene) OnGrantEvents([]ml.GrantEvent)                 {}
func (sc *scene) MaxAge(time.Time, ml.VMID, time.Duration) (age time.Duration, ok bool) {
	return 0, true
}

func (sc *scene) OnReserve(_ context.Context, re ml.Reservation) ml.Grant {
	bound := "any wait"
	if re.MaxPredictedWaitMs > 0 {
		bound = fmt.Sprintf("most %d ms", re.MaxPredictedWaitMs)
	}
	sc.asked = append(sc.asked, fmt.Sprintf("asked %s, %s", re.Endpoint, bound))
	answers := sc.answers[re.Endpoint]
	sc.answers[re.Endpoint] = answers[1:]
	return answers[0]
}

// TestPlace runs the scripts below testdata: what owners answer, and what
// becomes of the request.
func TestPlace(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			sc := &scene{table: router.NewTable("d", router.Predicted{}, 4, 1), answers: make(map[ml.EndpointID][]ml.Grant)}
			for _, line := range strings.Split(td.Input, "\n") {
				sc.read(t, td.Pos, line)
			}
			di := &Dispatcher{Self: self, Routes: sc, Keeper: &keeper.Keeper{}}
			di.Holder = holder.New(t.Context(), self, ml.DefaultTiming())
			di.Holder.Directory, di.Holder.Owner = sc, sc
			rq := &Request{ID: "r", Deadline: time.Now().Add(time.Minute)}
			he, err := di.placeOne(t.Context(), rq, router.Request{Model: "m", Prompt: 1000, Memory: 1000}, nil)
			return strings.Join(append(sc.asked, outcome(he, err)), "\n")
		})
	})
}

// read takes one line: an endpoint, the requests that it is known to carry and
// the answers of its owner.
func (sc *scene) read(t *testing.T, pos, line string) {
	fields := strings.Fields(line)
	lo := ml.EndpointLoad{Window: 32, PrefillRate: 100_000}
	if _, err := fmt.Sscan(fields[1], &lo.Requests); err != nil {
		t.Fatalf("%s: %v", pos, err)
	}
	id := ml.EndpointID(fields[0])
	sc.table.Update(time.Now(), ml.Endpoint{ID: id, Domain: "d", Kind: ml.KindEngine, Model: "m", Memory: 400_000}, self, lo)
	for _, text := range fields[2:] {
		gr := ml.Grant{Granted: text == "granted", Reason: text}
		if name, wait, found := strings.Cut(text, ":"); found {
			text = name
			if _, err := fmt.Sscan(wait, &gr.RetryAfterMs); err != nil {
				t.Fatalf("%s: %v", pos, err)
			}
		}
		gr.Type = ml.ErrorType(text)
		sc.answers[id] = append(sc.answers[id], gr)
	}
}

func outcome(he *holder.HeldGrant, err error) string {
	var er *ml.Error
	if errors.As(err, &er) {
		return fmt.Sprintf("refused: %s, not run: %t", er.Type, er.NotRun)
	}
	return "placed at " + string(he.Endpoint.ID)
}
