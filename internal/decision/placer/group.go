package placer

import (
	"cmp"
	"slices"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

// option is one candidate as a member of a group of a given size.
type option struct {
	st    *state
	cost  float64   // loss at this engine when it begins now
	clear time.Time // when it could begin without harm
	after float64   // loss at this engine when it begins then
}

// try weighs the best group of a size, beginning now and beginning later.
func (ch *chooser) try(parts int, best, later *Choice) {
	part := forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, parts)
	options := make([]option, 0, len(ch.states))
	for i := range ch.states {
		options = append(options, ch.option(&ch.states[i], part, parts))
	}
	ch.tryNow(options, part, parts, best)
	ch.tryLater(options, part, parts, later)
}

func (ch *chooser) tryNow(options []option, part time.Duration, parts int, best *Choice) {
	open := slices.DeleteFunc(slices.Clone(options), func(op option) bool { return !op.st.fits })
	if len(open) < parts {
		return
	}
	slices.SortFunc(open, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), a.st.engine.Free.Compare(b.st.engine.Free), cmp.Compare(a.st.index, b.st.index))
	})
	if parts == 1 {
		ch.trySingle(open, part, best)
		return
	}
	ch.keep(open[:parts], part, ch.now, best, costNow)
}

func costNow(op option) float64 { return op.cost }

// trySingle weighs each engine by itself. Of those that are hardly worse than the
// best, the one goes first that this entry VM prefers: another that decides at
// the same moment prefers another.
func (ch *chooser) trySingle(open []option, part time.Duration, best *Choice) {
	choices := make([]Choice, 0, len(open))
	least := Choice{Lead: -1}
	for _, op := range open {
		own := Choice{Lead: -1, Available: best.Available}
		ch.keep([]option{op}, part, ch.now, &own, costNow)
		if own.Lead < 0 {
			continue
		}
		choices = append(choices, own)
		if least.Lead < 0 || own.Loss < least.Loss {
			least = own
		}
	}
	picked := least
	more := 1 + min(ch.rq.UnseenRequests, alikeMost)
	for _, own := range choices {
		alike := own.Loss <= least.Loss+more*alikeLoss*ch.rq.Value && own.FirstEventAt.Sub(least.FirstEventAt) <= time.Duration(more*float64(alikeTime))
		if alike && ch.states[own.Lead].TieBreak > ch.states[picked.Lead].TieBreak {
			picked = own
		}
	}
	picked.Loss = least.Loss // it counts as like the best
	if picked.Lead >= 0 && picked.Loss < best.Loss {
		*best = picked
	}
}

// read returns when a prompt is read that begins at start: a whole one after
// what the engine has already, parts of it before that.
func read(members []option, start time.Time, part time.Duration) time.Time {
	if len(members) == 1 {
		start = later(start, members[0].st.engine.Free)
	}
	return start.Add(part)
}

// tryLater weighs a group that begins as soon as its members are clear of what
// would be harmed.
func (ch *chooser) tryLater(options []option, part time.Duration, parts int, later *Choice) {
	open := slices.DeleteFunc(slices.Clone(options), func(op option) bool { return op.st.Blocked })
	if len(open) < parts {
		return
	}
	slices.SortFunc(open, func(a, b option) int {
		return cmp.Or(a.clear.Compare(b.clear), cmp.Compare(a.after, b.after), cmp.Compare(a.st.index, b.st.index))
	})
	members := open[:parts]
	ch.keep(members, part, members[parts-1].clear, later, func(op option) float64 { return op.after })
}

// keep replaces best when the members do better.
func (ch *chooser) keep(members []option, part time.Duration, start time.Time, best *Choice, cost func(option) float64) {
	lead, share := ch.lead(members)
	if lead < 0 {
		return
	}
	first := read(members, start, part).Add(ch.firstPass(&members[lead].st.engine))
	loss := ch.selfLoss(first) + ch.waitLoss(start) + partCost*float64(len(members)-1) + ch.price*part.Seconds()*float64(len(members))
	for _, op := range members {
		loss += cost(op)
	}
	if best.Lead >= 0 && loss >= best.Loss {
		return
	}
	seen := best.Available
	*best = Choice{Lead: members[lead].st.index, HelperMemory: share, FirstEventAt: first, Loss: loss, Available: seen}
	for i, op := range members {
		if i != lead {
			best.Helpers = append(best.Helpers, op.st.index)
		}
	}
}

// lead returns the member that answers, with as few answers under way as
// possible, and the memory that each helper has to set aside when it can't hold
// the whole prompt.
func (ch *chooser) lead(members []option) (int, ml.Tokens) {
	lead := -1
	for i, op := range members {
		if ch.room(op) < ch.memory {
			continue
		}
		if lead < 0 || ch.leadsSooner(op, members[lead]) {
			lead = i
		}
	}
	if lead >= 0 || len(members) == 1 {
		return lead, 0
	}
	return ch.sharedLead(members)
}

// leadsSooner tells whether a is the better engine to answer.
func (ch *chooser) leadsSooner(a, b option) bool {
	if a.st.engine.Free.Equal(b.st.engine.Free) {
		return len(a.st.engine.Writers) < len(b.st.engine.Writers)
	}
	return a.st.engine.Free.Before(b.st.engine.Free)
}

// sharedLead returns the member with the most room, when all together have
// room for the prompt in even parts.
func (ch *chooser) sharedLead(members []option) (int, ml.Tokens) {
	lead := 0
	share := ch.memory/ml.Tokens(len(members)) + 1
	for i, op := range members {
		if ch.room(op) < share {
			return -1, 0
		}
		if ch.room(op) > ch.room(members[lead]) {
			lead = i
		}
	}
	return lead, share
}

// room returns the memory of an engine that a prompt may take.
func (ch *chooser) room(op option) ml.Tokens {
	return ml.Tokens(memoryPart*float64(ch.rq.Profile.Memory)) - op.st.engine.Memory
}

// firstPass returns the time from the end of reading to the first event.
func (ch *chooser) firstPass(en *forecaster.Engine) time.Duration {
	pass := forecaster.Pass(ch.rq.Profile, len(en.Writers)+1, en.Context+ch.memory)
	if len(en.Writers) == 0 {
		return pass
	}
	return pass + pass/2 // what is left of the pass under way
}
