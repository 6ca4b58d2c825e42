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

// memberPatience bounds the wait for one member of a group, so that two
// groups which wait for each other's members both give up in time.
const memberPatience = 5 * time.Second

// group holds the engines that carry one prompt together. A nil group is
// empty.
type group struct {
	members []*holder.HeldGrant
	share   ml.Tokens
}

// list returns the members for the engine that leads.
func (gr *group) list() []ml.GroupMember {
	if gr == nil {
		return nil
	}
	out := make([]ml.GroupMember, len(gr.members))
	for i, he := range gr.members {
		out[i] = ml.GroupMember{Endpoint: he.Endpoint.ID, Address: he.Endpoint.Address, Hold: he.ID, Tokens: gr.share}
	}
	return out
}

// dissolve frees the memory of all members.
func (gr *group) dissolve(di *Dispatcher) {
	if gr == nil {
		return
	}
	for _, he := range gr.members {
		go di.runCancel(he)
		he.Release(ml.OutcomeCancelled)
	}
}

// placeGroup reserves as many engines of one failure domain as the prompt
// needs, all or none. They are reserved in the order of their ids, so that of
// two groups one always gets ahead. The last one leads.
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
		gr.dissolve(di)
		return nil, nil, err
	}
	return lead, gr, nil
}

// chooseMembers picks the failure domain where the members are least busy.
func (di *Dispatcher) chooseMembers(rq *Request, memory ml.Tokens) ([]router.Candidate, ml.Tokens) {
	part := di.Keeper.View().Config.Routing.LongPromptShare
	var best []router.Candidate
	var share ml.Tokens
	low := ml.Tokens(0)
	di.Routes.WithTable(func(ta *router.Table) {
		for _, all := range ta.FreshEngines(time.Now(), rq.Model) {
			slices.SortFunc(all, func(a, b *router.Candidate) int {
				return cmp.Or(cmp.Compare(a.Load.Memory, b.Load.Memory), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
			})
			n := membersNeeded(all, memory, part)
			if n == 0 {
				continue
			}
			busy := ml.Tokens(0)
			for _, ca := range all[:n] {
				busy += ca.Load.Memory
			}
			if best != nil && busy >= low {
				continue
			}
			low, share, best = busy, memory/ml.Tokens(n)+1, best[:0]
			for _, ca := range all[:n] {
				best = append(best, *ca)
			}
		}
	})
	slices.SortFunc(best, func(a, b router.Candidate) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
	return best, share
}

// membersNeeded returns how many of the first engines together hold memory
// tokens in the given part of their memory, or 0 when all are too few.
func membersNeeded(all []*router.Candidate, memory ml.Tokens, part float64) int {
	least := ml.Tokens(0)
	for i, ca := range all {
		if i == 0 || ca.Endpoint.Memory < least {
			least = ca.Endpoint.Memory
		}
		if float64(least)*part*float64(i+1) >= float64(memory) {
			return i + 1
		}
	}
	return 0
}

func (di *Dispatcher) reserveGroup(ctx context.Context, rq *Request, cands []router.Candidate, gr *group) (*holder.HeldGrant, error) {
	last := len(cands) - 1
	for i, ca := range cands[:last] {
		he, err := di.reserveMember(ctx, rq, ca, i+1, gr.share)
		if err != nil {
			return nil, err
		}
		gr.members = append(gr.members, he)
	}
	rr := router.Request{Model: rq.Model, Length: rq.rank, Prompt: rq.EstimatedTokens / ml.Tokens(len(cands)), Memory: gr.share}
	he, err := di.reserve(ctx, rq, rr, offer{Candidate: cands[last], last: true}, 0)
	if err != nil {
		return nil, err
	}
	di.Routes.WithTable(func(ta *router.Table) { ta.RecordOffer(he.Endpoint.ID, rr) })
	return he, nil
}

func (di *Dispatcher) reserveMember(ctx context.Context, rq *Request, ca router.Candidate, part int, share ml.Tokens) (*holder.HeldGrant, error) {
	left := time.Until(rq.Deadline)
	he, err := di.Holder.Reserve(ctx, ca.Endpoint, ca.Owner, ml.Reservation{
		ID: grantID(rq, part), Endpoint: ca.Endpoint.ID, Holder: di.Self, Team: rq.Team, Length: ml.Huge,
		Memory: share, Member: true, DeadlineMs: left.Milliseconds(),
		GrantTimeoutMs: min(left, memberPatience).Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	if err := di.Engine.Reserve(ctx, ca.Endpoint, he.ID, share); err != nil {
		go di.runCancel(he)
		he.Release(ml.OutcomeCancelled)
		return nil, &ml.Error{
			Type: ml.ErrUnavailable, Step: "hold memory", Peer: string(ca.Endpoint.ID), NotRun: true,
			Err: errors.Join(errors.New("a member of the group has no memory"), err),
		}
	}
	he.Confirm("")
	return he, nil
}
