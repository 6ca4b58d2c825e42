package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/router"
	"github.com/mulberrylever/mulberrylever/internal/duty/holder"
)

// maxMemberGrantWait bounds the wait for one member of a group. Two groups that
// wait for each other's members give up after it instead of blocking each other
// until their deadlines.
const maxMemberGrantWait = 5 * time.Second

// group holds the grants of the engines that process one prompt together with
// the lead engine. A nil group is empty.
type group struct {
	members []*holder.HeldGrant
	share   ml.Tokens // memory used at each engine
}

// memberList returns the members, for the lead engine.
func (gr *group) memberList() []ml.GroupMember {
	if gr == nil {
		return nil
	}
	out := make([]ml.GroupMember, len(gr.members))
	for i, he := range gr.members {
		out[i] = ml.GroupMember{Endpoint: he.Endpoint.ID, Address: he.Endpoint.Address, Hold: he.ID, Tokens: gr.share}
	}
	return out
}

// release frees the memory of all members.
func (gr *group) release(di *Dispatcher) {
	if gr == nil {
		return
	}
	for _, he := range gr.members {
		go di.cancelGeneration(he)
		he.Release(ml.OutcomeCancelled)
	}
}

// placeGroup reserves as many engines of one failure domain as the prompt
// needs, all or none. It reserves them in the order of their ids, so that of two
// competing groups one always makes progress. The last one is the lead engine.
func (di *Dispatcher) placeGroup(ctx context.Context, rq *Request, memory ml.Tokens) (*holder.HeldGrant, *group, error) {
	cands, share := di.chooseMembers(rq, memory)
	if len(cands) == 0 {
		return nil, nil, &ml.Error{
			Type: ml.ErrTooLarge, Step: "choose group", NotRun: true,
			Err: fmt.Errorf("no failure domain has engines for %d tokens in service", memory),
		}
	}
	gr := &group{share: share}
	lead, err := di.reserveGroup(ctx, rq, cands, gr)
	if err != nil {
		gr.release(di)
		return nil, nil, err
	}
	return lead, gr, nil
}

// chooseMembers picks the failure domain whose engines use the least memory. It
// returns the engines and the memory that the prompt needs at each.
func (di *Dispatcher) chooseMembers(rq *Request, memory ml.Tokens) ([]router.Candidate, ml.Tokens) {
	maxShare := di.Keeper.View().Config.Routing.LongPromptShare
	var best []router.Candidate
	var share ml.Tokens
	lowestUsed := ml.Tokens(0)
	di.Routes.WithTable(func(ta *router.Table) {
		for _, all := range ta.FreshEngines(time.Now(), rq.Model) {
			slices.SortFunc(all, func(a, b *router.Candidate) int {
				return cmp.Or(cmp.Compare(a.Load.Memory, b.Load.Memory), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
			})
			n := membersNeeded(all, memory, maxShare)
			if n == 0 {
				continue
			}
			used := ml.Tokens(0)
			for _, ca := range all[:n] {
				used += ca.Load.Memory
			}
			if best != nil && used >= lowestUsed {
				continue
			}
			lowestUsed, share, best = used, memory/ml.Tokens(n)+1, best[:0]
			for _, ca := range all[:n] {
				best = append(best, *ca)
			}
		}
	})
	slices.SortFunc(best, func(a, b router.Candidate) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return best, share
}

// membersNeeded returns how many of the first engines are needed to hold memory
// tokens, if each gives at most the share maxShare of its memory. It returns 0
// if all of them are not enough.
func membersNeeded(all []*router.Candidate, memory ml.Tokens, maxShare float64) int {
	smallest := ml.Tokens(0)
	for i, ca := range all {
		if i == 0 || ca.Endpoint.Memory < smallest {
			smallest = ca.Endpoint.Memory
		}
		if float64(smallest)*maxShare*float64(i+1) >= float64(memory) {
			return i + 1
		}
	}
	return 0
}

// reserveGroup reserves the members and then the lead engine, whose grant it
// returns. After an error, gr holds the members reserved so far.
func (di *Dispatcher) reserveGroup(ctx context.Context, rq *Request, cands []router.Candidate, gr *group) (*holder.HeldGrant, error) {
	last := len(cands) - 1
	for i, ca := range cands[:last] {
		he, err := di.reserveMember(ctx, rq, ca, i+1, gr.share)
		if err != nil {
			return nil, err
		}
		gr.members = append(gr.members, he)
	}
	rr := router.Request{Model: rq.Model, Length: rq.schedulingLength, Prompt: rq.EstimatedTokens / ml.Tokens(len(cands)), Memory: gr.share}
	he, err := di.reserve(ctx, rq, rr, target{Candidate: cands[last], last: true}, 0)
	if err != nil {
		return nil, err
	}
	di.Routes.WithTable(func(ta *router.Table) { ta.RecordOffer(he.Endpoint.ID, rr) })
	return he, nil
}

// reserveMember gets a grant for a member and reserves the memory at its engine.
func (di *Dispatcher) reserveMember(ctx context.Context, rq *Request, ca router.Candidate, index int, share ml.Tokens) (*holder.HeldGrant, error) {
	timeLeft := time.Until(rq.Deadline)
	he, err := di.Holder.Reserve(ctx, ca.Endpoint, ca.Owner, ml.Reservation{
		ID: grantID(rq, index), Endpoint: ca.Endpoint.ID, Holder: di.Self, Team: rq.Team, Length: ml.Huge,
		Memory: share, Member: true, DeadlineMs: timeLeft.Milliseconds(),
		GrantTimeoutMs: min(timeLeft, maxMemberGrantWait).Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	if err := di.Engine.Reserve(ctx, ca.Endpoint, he.ID, share); err != nil {
		go di.cancelGeneration(he)
		he.Release(ml.OutcomeCancelled)
		return nil, &ml.Error{
			Type: ml.ErrUnavailable, Step: "hold memory", Peer: string(ca.Endpoint.ID), NotRun: true,
			Err: errors.Join(errors.New("a member of the group has no memory"), err),
		}
	}
	he.Confirm("")
	return he, nil
}
