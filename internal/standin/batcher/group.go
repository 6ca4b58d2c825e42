package batcher

import (
	"context"
	"net/http"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
)

const (
	// groupInterval is the time between two looks at a group's members.
	groupInterval = 250 * time.Millisecond
	// groupTimeout bounds one look.
	groupTimeout = time.Second
)

// runWatchGroup breaks a sequence off when a member of its group no longer
// holds its part, as engines that work together do.
func (ba *Batcher) runWatchGroup(se *sequence, members []ml.GroupMember) {
	calls := requester.Requester{Client: requester.NewClient(nil, groupTimeout, groupTimeout), Step: "look at member"}
	for !ba.ended(se) {
		for _, gm := range members {
			if !holdsPart(calls, gm) {
				ba.breakOff(se)
				return
			}
		}
		time.Sleep(groupInterval)
	}
}

func holdsPart(calls requester.Requester, gm ml.GroupMember) bool {
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	re := ml.EngineReport{}
	if err := calls.Do(ctx, http.MethodGet, gm.Address, "/v1/holds", nil, &re); err != nil {
		return false
	}
	return slices.ContainsFunc(re.Holds, func(ho ml.Hold) bool { return ho.ID == gm.Hold })
}

func (ba *Batcher) ended(se *sequence) bool {
	ba.sc.mu.Lock()
	defer ba.sc.mu.Unlock()
	return se.gone || !se.ended.IsZero()
}

func (ba *Batcher) breakOff(se *sequence) {
	ba.sc.mu.Lock()
	defer ba.sc.mu.Unlock()
	if !se.ended.IsZero() {
		return
	}
	se.gone = true
	se.wake()
	delete(ba.sc.sequences, se.id)
}
