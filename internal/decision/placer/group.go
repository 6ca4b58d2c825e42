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
	part := forecaster.Reading(ch.rq.Figures, ch.rq.Prompt, parts)
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
		own := Choice{Lead: -1, Seen: best.Seen}
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
	more := 1 + min(ch.rq.Unseen, alikeMost)
	for _, own := range choices {
		alike := own.Loss <= least.Loss+more*alikeLoss*ch.rq.Worth && own.First.Sub(least.First) <= time.Duration(more*float64(alikeTime))
		if alike && ch.states[own.Lead].Preference > ch.states[picked.Lead].Preference {
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
	open := slices.DeleteFunc(slices.Clone(options), func(op option) bool { return op.st.Closed })
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
	seen := best.Seen
	*best = Choice{Lead: members[lead].st.index, Share: share, First: first, Loss: loss, Seen: seen}
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
	return ml.Tokens(memoryPart*float64(ch.rq.Figures.Memory)) - op.st.engine.Memory
}

// firstPass returns the time from the end of reading to the first event.
func (ch *chooser) firstPass(en *forecaster.Engine) time.Duration {
	pass := forecaster.Pass(ch.rq.Figures, len(en.Writers)+1, en.Context+ch.memory)
	if len(en.Writers) == 0 {
		return pass
	}
	return pass + pass/2 // what is left of the pass under way
}

// option predicts what a part of the prompt costs at one engine.
func (ch *chooser) option(st *state, part time.Duration, parts int) option {
	op := option{st: st, clear: st.engine.Free}
	if !st.fits && !st.Closed {
		op.clear = later(op.clear, firstEnd(&st.engine))
	}
	base := ch.rq.Worth * failLoss * st.Failing
	if st.Endpoint.Domain != ch.rq.Domain {
		base += farCost
	}
	base += freshCost * ch.held(&st.engine) / float64(parts) / (1 + ch.rq.Unseen/unseenHalf) // one of them answers
	op.cost = base + ch.pauses(st, part, parts, &op.clear) + ch.delays(st, part, parts)
	op.after = base
	return op
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstEnd returns when the first place of an engine is predicted to be free.
func firstEnd(en *forecaster.Engine) time.Time {
	end := en.Free
	for _, fl := range en.Writers {
		if at := fl.Began.Add(fl.Writing); at.Before(end) || end.Equal(en.Free) {
			end = at
		}
	}
	return end
}

// held returns by how much longer the answer would keep an engine from prompts
// that need one without answers of its kind, as a share of the answer's time: all
// of it at an engine that has none, little at one that has just been given one.
func (ch *chooser) held(en *forecaster.Engine) float64 {
	latest := time.Time{}
	for i := range en.Writers {
		if fl := &en.Writers[i]; fl.Gap == ch.rq.Gap {
			latest = later(latest, fl.Sent)
		}
	}
	for i := range en.Readers {
		if fl := &en.Readers[i].Flight; !fl.Helper && fl.Gap == ch.rq.Gap {
			latest = later(latest, fl.Sent)
		}
	}
	writing := forecaster.Writing(ch.rq.Figures, ch.rq.Prompt, ch.rq.Answer)
	return min(float64(ch.now.Sub(latest))/float64(max(writing, 1)), 1)
}

// pauses returns the loss of those whose answers pause longer because a part
// is read beside them. It puts off clear until they have ended.
func (ch *chooser) pauses(st *state, part time.Duration, parts int, clear *time.Time) float64 {
	en := &st.engine
	pass := forecaster.Pass(ch.rq.Figures, max(len(en.Writers), 1), en.Context)
	most := forecaster.MostRead(ch.rq.Figures, ch.rq.Prompt, forecaster.Reading(ch.rq.Figures, ch.rq.Prompt, 1))
	without := pass + min(en.Backlog(ch.now), most)
	with := pass + min(en.Backlog(ch.now)+part, max(most, without-pass))
	loss := 0.0
	for i := range en.Writers {
		loss += ch.pause(&en.Writers[i], en.Writers[i].Began, with, without, clear)
	}
	if parts > 1 {
		return loss // the part is read before the prompts that wait
	}
	for i := range en.Readers {
		if re := &en.Readers[i]; !re.Flight.Helper {
			loss += ch.pause(&re.Flight, re.Done, pass+min(part, most), pass, clear)
		}
	}
	return loss
}

// pause returns the loss of one answer, which begins at began, when its longest
// pause becomes with instead of without.
func (ch *chooser) pause(fl *ml.Flight, began time.Time, with, without time.Duration, clear *time.Time) float64 {
	if fl.Gap <= 0 {
		return 0
	}
	worse := over(with, fl.Gap) - over(without, fl.Gap)
	if worse <= 0 {
		return 0
	}
	if end := began.Add(fl.Writing); end.After(*clear) {
		*clear = end
	}
	return lateLoss * fl.Worth * worse
}

// over returns how likely a pause is to miss its objective.
func over(pause, gap time.Duration) float64 {
	return ramp(float64(pause)/float64(gap), likely, unlikely)
}

// delays returns the loss of those whose prompts are read later because of a
// part. Parts of a group are read ahead of whole prompts.
func (ch *chooser) delays(st *state, part time.Duration, parts int) float64 {
	by := part
	if parts == 1 {
		by = time.Duration(joinDelay * float64(part))
	}
	loss := 0.0
	for _, re := range st.engine.Readers {
		first := re.Done.Add(forecaster.Pass(ch.rq.Figures, 1, re.Flight.Memory))
		loss += lateLoss * re.Flight.Worth * ch.miss(first, by, re.Flight.FirstBy)
		if !re.Flight.GiveUp.IsZero() {
			loss += (1 - lateLoss) * re.Flight.Worth * ch.miss(first, by, re.Flight.GiveUp)
		}
	}
	return loss
}

// miss returns how much more likely a first event is to miss a time when it
// comes later.
func (ch *chooser) miss(first time.Time, by time.Duration, at time.Time) float64 {
	return ch.missed(first.Add(by), at) - ch.missed(first, at)
}

// Worth returns what an answer is worth to its caller: it grows with the work
// that the caller has put in.
func Worth(prompt ml.Tokens) float64 {
	const least, perToken = 1.0, 1.0 / 8000
	return least + perToken*float64(prompt)
}
