package placer

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

// member is a candidate as a member of a group of a given size.
type member struct {
	st        *state
	lossNow   float64   // loss at this engine for an immediate start
	startAt   time.Time // earliest start that delays no other answer
	lossLater float64   // loss at this engine for a start at startAt
}

// evaluate evaluates the best group of a size for an immediate and for a later
// start.
func (ch *chooser) evaluate(parts int, best, bestLater *Choice) {
	part := forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, parts)
	members := make([]member, 0, len(ch.states))
	for i := range ch.states {
		members = append(members, ch.member(&ch.states[i], part, parts))
	}
	ch.evaluateNow(members, part, parts, best)
	ch.evaluateLater(members, part, parts, bestLater)
}

func (ch *chooser) evaluateNow(members []member, part time.Duration, parts int, best *Choice) {
	available := slices.DeleteFunc(slices.Clone(members), func(me member) bool { return !me.st.hasSlot })
	if len(available) < parts {
		return
	}
	slices.SortFunc(available, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.lossNow, b.lossNow), a.st.engine.PrefillDoneAt.Compare(b.st.engine.PrefillDoneAt), cmp.Compare(a.st.index, b.st.index))
	})
	if parts == 1 {
		ch.evaluateSingle(available, part, best)
		return
	}
	ch.improve(available[:parts], part, ch.now, best, immediateLoss)
}

func immediateLoss(me member) float64 { return me.lossNow }

// evaluateSingle evaluates each engine on its own. Among those that tie with the
// best, it takes the one with the highest TieBreak, so that entry VMs that decide
// at the same moment take different engines.
func (ch *chooser) evaluateSingle(available []member, part time.Duration, best *Choice) {
	choices := make([]Choice, 0, len(available))
	least := Choice{Lead: -1}
	for _, me := range available {
		single := Choice{Lead: -1, Available: best.Available}
		ch.improve([]member{me}, part, ch.now, &single, immediateLoss)
		if single.Lead < 0 {
			continue
		}
		choices = append(choices, single)
		if least.Lead < 0 || single.Loss < least.Loss {
			least = single
		}
	}
	picked := least
	margins := 1 + min(ch.rq.UnseenRequests, maxTieUnseen)
	for _, single := range choices {
		ties := single.Loss <= least.Loss+margins*tieLossShare*ch.rq.Value && single.FirstEventAt.Sub(least.FirstEventAt) <= time.Duration(margins*float64(tieTimeMargin))
		if ties && ch.states[single.Lead].TieBreak > ch.states[picked.Lead].TieBreak {
			picked = single
		}
	}
	picked.Loss = least.Loss // a tie has the loss of the best
	if picked.Lead >= 0 && picked.Loss < best.Loss {
		*best = picked
	}
}

// prefillDone returns when a prefill that starts at start is done. A single
// engine finishes its pending prefills first, while parts go ahead of them.
func prefillDone(members []member, start time.Time, part time.Duration) time.Time {
	if len(members) == 1 {
		start = later(start, members[0].st.engine.PrefillDoneAt)
	}
	return start.Add(part)
}

// evaluateLater evaluates the group of the engines that can start earliest
// without delaying other answers, with a start once all of them can.
func (ch *chooser) evaluateLater(members []member, part time.Duration, parts int, bestLater *Choice) {
	unblocked := slices.DeleteFunc(slices.Clone(members), func(me member) bool { return me.st.Blocked })
	if len(unblocked) < parts {
		return
	}
	slices.SortFunc(unblocked, func(a, b member) int {
		return cmp.Or(a.startAt.Compare(b.startAt), cmp.Compare(a.lossLater, b.lossLater), cmp.Compare(a.st.index, b.st.index))
	})
	group := unblocked[:parts]
	ch.improve(group, part, group[parts-1].startAt, bestLater, func(me member) float64 { return me.lossLater })
}

// improve replaces best if the group has less loss.
func (ch *chooser) improve(group []member, part time.Duration, start time.Time, best *Choice, memberLoss func(member) float64) {
	lead, helperMemory := ch.lead(group)
	if lead < 0 {
		return
	}
	firstEvent := prefillDone(group, start, part).Add(ch.firstPass(group[lead].st.engine))
	loss := ch.ownLoss(firstEvent) + ch.waitLoss(start) + extraEngineCost*float64(len(group)-1) + ch.engineSecondCost*part.Seconds()*float64(len(group))
	for _, me := range group {
		loss += memberLoss(me)
	}
	if best.Lead >= 0 && loss >= best.Loss {
		return
	}
	available := best.Available
	*best = Choice{Lead: group[lead].st.index, HelperMemory: helperMemory, FirstEventAt: firstEvent, Loss: loss, Available: available}
	for i, me := range group {
		if i != lead {
			best.Helpers = append(best.Helpers, me.st.index)
		}
	}
}

// lead returns the index of the member that generates the answer: of those that
// can hold the whole prompt, the one that betterLead prefers. If none can, it also
// returns the memory that each helper must reserve. The index is -1 if the group
// lacks memory.
func (ch *chooser) lead(group []member) (int, ml.Tokens) {
	lead := -1
	for i, me := range group {
		if ch.freeMemory(me) < ch.memory {
			continue
		}
		if lead < 0 || ch.betterLead(me, group[lead]) {
			lead = i
		}
	}
	if lead >= 0 || len(group) == 1 {
		return lead, 0
	}
	return ch.sharedLead(group)
}

// betterLead reports whether a should generate the answer rather than b: because
// its pending prefills end earlier or, if equal, it has fewer running answers.
func (ch *chooser) betterLead(a, b member) bool {
	if a.st.engine.PrefillDoneAt.Equal(b.st.engine.PrefillDoneAt) {
		return len(a.st.engine.Decoding) < len(b.st.engine.Decoding)
	}
	return a.st.engine.PrefillDoneAt.Before(b.st.engine.PrefillDoneAt)
}

// sharedLead returns the member with the most free memory if every member can
// hold an equal share of the prompt, and the size of that share.
func (ch *chooser) sharedLead(group []member) (int, ml.Tokens) {
	lead := 0
	share := ch.memory/ml.Tokens(len(group)) + 1
	for i, me := range group {
		if ch.freeMemory(me) < share {
			return -1, 0
		}
		if ch.freeMemory(me) > ch.freeMemory(group[lead]) {
			lead = i
		}
	}
	return lead, share
}

// freeMemory returns the engine memory available to the prompt.
func (ch *chooser) freeMemory(me member) ml.Tokens {
	return ml.Tokens(usableMemoryShare*float64(ch.rq.Profile.Memory)) - me.st.engine.Memory
}

// firstPass returns the time from the end of the prefill to the first event.
func (ch *chooser) firstPass(es *forecaster.EngineState) time.Duration {
	pass := forecaster.PassTime(ch.rq.Profile, len(es.Decoding)+1, es.Context+ch.memory)
	if len(es.Decoding) == 0 {
		return pass
	}
	return pass + pass/2 // on average half of the current pass remains
}
