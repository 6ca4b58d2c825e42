package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	ml "github.com/mulberrylever/mulberrylever"
)

// crashExchanger sends requests to the engines of a crashFleet.
type crashExchanger struct {
	*crashFleet
	vm int
}

// headerParts holds the parts of a prompt in these tests, headerIdentity the identity of
// the request.
const headerParts, headerIdentity = "Parts", "Identity"

// Exchange implements ml.Exchanger.
func (ce crashExchanger) Exchange(ctx context.Context, ep ml.ListedEndpoint, out *ml.OutboundRequest) (*ml.Answer, error) {
	time.Sleep(2 * time.Millisecond)
	if ce.isCutOff(ce.vm) {
		return nil, ce.failCutOff(ctx, ep.ID)
	}
	ce.mu.Lock()
	defer ce.mu.Unlock()
	en := ce.engineByID[ep.ID]
	if ce.isCut(ce.vm, ep.ID) && ce.takePooled(ep.ID) {
		return nil, &ml.Error{Type: ml.ErrEndpointFailed, Step: "exchange", Peer: string(ep.ID), Err: io.ErrUnexpectedEOF}
	}
	if en.ended || ce.isCut(ce.vm, ep.ID) {
		return nil, &ml.Error{Type: ml.ErrUnavailable, Step: "dial", NotRun: true, Err: io.ErrClosedPipe}
	}
	identity := ml.PartID(out.Header.Get(headerIdentity))
	if isGuilty(identity) {
		ce.guiltySends[identity] = append(ce.guiltySends[identity], time.Now())
	}
	if ce.kind != ml.RouteStream {
		return ce.call(ctx, en, identity)
	}
	isCrashing := slices.Contains(out.Header[headerParts], string(crashingPart))
	if isCrashing {
		ce.sends = append(ce.sends, time.Now())
	}
	pr, pw := io.Pipe()
	en.open[pw] = ce.vm
	ce.wg.Go(func() { ce.answer(en, ce.vm, pw, identity, isCrashing) })
	return &ml.Answer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Sealed: true, Body: pr, Close: func() { _ = pr.Close() }}, nil
}

func (crashExchanger) HoldUse(context.Context, ml.ListedEndpoint, ml.HoldID) (ml.HoldUse, error) {
	return ml.HoldUseUnknown, nil
}

func (crashExchanger) ReserveMemory(context.Context, ml.ListedEndpoint, ml.HoldID, ml.Tokens, time.Duration) error {
	return nil
}

func (crashExchanger) ReleaseMemory(context.Context, ml.ListedEndpoint, ml.HoldID) error { return nil }

// Connect implements ml.Exchanger.
func (ce crashExchanger) Connect(ctx context.Context, ep ml.ListedEndpoint) ml.ConnectResult {
	time.Sleep(2 * time.Millisecond)
	if ce.isCutOff(ce.vm) {
		return ce.connectCutOff(ctx)
	}
	ce.mu.Lock()
	defer ce.mu.Unlock()
	if ce.engineByID[ep.ID].ended || ce.isCut(ce.vm, ep.ID) {
		return ml.ConnectRefused
	}
	return ml.ConnectOpened
}

// answer writes an answer after the prefill. With crashingPart the engine ends instead.
func (cf *crashFleet) answer(en *crashEngine, vm int, pw *io.PipeWriter, identity ml.PartID, isCrashing bool) {
	const events, eventInterval = 15, 45 * time.Millisecond
	defer func() {
		cf.mu.Lock()
		defer cf.mu.Unlock()
		delete(en.open, pw)
		_ = pw.Close()
	}()
	time.Sleep(time.Duration(cf.intBetween(60, 250)) * time.Millisecond)
	cf.mu.Lock()
	if isCrashing && !en.ended {
		cf.crashes = append(cf.crashes, time.Now())
		cf.end(en)
	}
	cf.crashIfGuilty(en, identity)
	cf.mu.Unlock()
	for i := range events {
		cf.holdCutOff(vm)
		if _, err := fmt.Fprintf(pw, "id: %d\ndata: x\n\n", i+1); err != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// isCut reports whether the path between an entry VM and an engine is refused. The caller
// must hold cf.mu.
func (cf *crashFleet) isCut(vm int, id ml.EndpointID) bool {
	const tenths = 10
	return cf.isReset && int(xxhash.Sum64String(fmt.Sprint(vm, id, cf.resets))%tenths) < cf.paths
}

// resetPaths resets some paths between entry VMs and engines, which refuse connections for
// a time, and again others.
func (cf *crashFleet) resetPaths() {
	const resets, duration, pause = 2, 5 * time.Second, time.Second
	for range resets {
		cf.mu.Lock()
		cf.isReset = true
		cf.resets++
		for id, en := range cf.engineByID {
			for pw, vm := range en.open {
				if cf.isCut(vm, id) {
					_ = pw.CloseWithError(io.ErrUnexpectedEOF)
				}
			}
		}
		cf.mu.Unlock()
		time.Sleep(duration)
		cf.mu.Lock()
		cf.isReset = false
		cf.mu.Unlock()
		time.Sleep(pause)
	}
}

// takePooled reports whether a request is sent on a connection that was opened before the
// path was cut, and is reset when something is sent. The caller must hold ce.mu.
func (ce crashExchanger) takePooled(id ml.EndpointID) bool {
	const pooled = 3
	key := fmt.Sprint(ce.vm, id, ce.resets)
	ce.taken[key]++
	return ce.taken[key] <= pooled
}
