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
	// memberCheckInterval is the time between two checks of a group's members.
	memberCheckInterval = 250 * time.Millisecond
	// memberCheckTimeout bounds the check of one member.
	memberCheckTimeout = time.Second
)

// runWatchGroup aborts a sequence when a member of its group does not answer or
// has dropped its hold. Engines that share a sequence cannot go on without one of
// them.
func (ba *Batcher) runWatchGroup(se *sequence, members []ml.GroupMember) {
	client := requester.Requester{Client: requester.NewClient(nil, memberCheckTimeout, memberCheckTimeout), Step: "check group member"}
	for !ba.isEnded(se) {
		for _, gm := range members {
			if !hasHold(client, gm) {
				ba.abort(se)
				return
			}
		}
		time.Sleep(memberCheckInterval)
	}
}

// hasHold reports whether a member still holds its memory for the sequence.
func hasHold(client requester.Requester, gm ml.GroupMember) bool {
	ctx, cancel := context.WithTimeout(context.Background(), memberCheckTimeout)
	defer cancel()
	re := ml.EngineReport{}
	if err := client.Do(ctx, http.MethodGet, gm.Address, "/v1/holds", nil, &re); err != nil {
		return false
	}
	return slices.ContainsFunc(re.Holds, func(ho ml.Hold) bool { return ho.ID == gm.Hold })
}

// isEnded reports whether a sequence is finished or aborted.
func (ba *Batcher) isEnded(se *sequence) bool {
	ba.scheduler.mu.Lock()
	defer ba.scheduler.mu.Unlock()
	return se.aborted || !se.ended.IsZero()
}

// abort aborts an unfinished sequence. Its streams are closed without an end.
func (ba *Batcher) abort(se *sequence) {
	ba.scheduler.mu.Lock()
	defer ba.scheduler.mu.Unlock()
	if !se.ended.IsZero() {
		return
	}
	se.aborted = true
	se.notify()
	delete(ba.scheduler.sequences, se.id)
}
