package placer

import (
	"cmp"
	"math"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

// member predicts the loss caused by a part of the prompt at one engine.
func (ch *chooser) member(st *state, part time.Duration, parts int) member {
	me := member{st: st, startAt: st.engine.PrefillDoneAt}
	if !st.hasSlot && !st.Blocked {
		me.startAt = later(me.startAt, firstSlotFree(st.engine))
	}
	base := ch.rq.Value * failureLossShare * st.FailureRate
	if st.Endpoint.Domain != ch.rq.Domain {
		base += crossDomainCost
	}
	base += (1 - ch.rq.SpareEngines) * occupancyCost * ch.addedOccupancy(st.engine) / float64(parts) / (1 + ch.rq.UnseenRequests/unseenHalvingCount) // only one member decodes
	me.lossNow = base + ch.gapLoss(st, part, parts, &me.startAt) + ch.delayLoss(st, part, parts)
	me.lossLater = base
	return me
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// firstSlotFree returns when the first slot of an engine is predicted to become
// free.
func firstSlotFree(es *forecaster.EngineState) time.Time {
	end := es.PrefillDoneAt
	for _, fl := range es.Decoding {
		if at := fl.FirstEventAt.Add(fl.DecodeTime); at.Before(end) || end.Equal(es.PrefillDoneAt) {
			end = at
		}
	}
	return end
}

// addedOccupancy returns by how much the answer would extend the time during which
// the engine is unavailable to prompts that need an engine without answers of this
// kind, as a share of the answer's decode time. It is 1 for an engine without such
// answers and near 0 for one that was sent such a request a moment ago. Answers
// are of the same kind if their GapTarget is equal.
func (ch *chooser) addedOccupancy(es *forecaster.EngineState) float64 {
	latest := time.Time{}
	for i := range es.Decoding {
		if fl := &es.Decoding[i]; fl.GapTarget == ch.rq.GapTarget {
			latest = later(latest, fl.SentAt)
		}
	}
	for i := range es.Pending {
		if fl := &es.Pending[i].Flight; !fl.Helper && fl.GapTarget == ch.rq.GapTarget {
			latest = later(latest, fl.SentAt)
		}
	}
	decode := forecaster.DecodeTime(ch.rq.Profile, ch.rq.Prompt, ch.rq.Answer)
	return min(float64(ch.now.Sub(latest))/float64(max(decode, 1)), 1)
}

// gapLoss returns the loss of the engine's answers whose pauses between events get
// longer because a part is prefilled at the same time. It moves startAt back to
// the end of these answers.
func (ch *chooser) gapLoss(st *state, part time.Duration, parts int, startAt *time.Time) float64 {
	es := st.engine
	pass := forecaster.PassTime(ch.rq.Profile, max(len(es.Decoding), 1), es.Context)
	maxPrefill := forecaster.MaxPrefillPerPass(ch.rq.Profile, ch.rq.Prompt, forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, 1))
	without := pass + min(es.Backlog(ch.now), maxPrefill)
	with := pass + min(es.Backlog(ch.now)+part, max(maxPrefill, without-pass))
	loss := 0.0
	for i := range es.Decoding {
		loss += ch.flightGapLoss(&es.Decoding[i], es.Decoding[i].FirstEventAt, with, without, startAt)
	}
	if parts > 1 {
		return loss // the part is prefilled ahead of the pending prompts
	}
	for i := range es.Pending {
		if pp := &es.Pending[i]; !pp.Flight.Helper {
			loss += ch.flightGapLoss(&pp.Flight, pp.DoneAt, pass+min(part, maxPrefill), pass, startAt)
		}
	}
	return loss
}

// flightGapLoss returns the loss of one answer, whose decoding starts at start,
// when its longest pause becomes with instead of without.
func (ch *chooser) flightGapLoss(fl *ml.Flight, start time.Time, with, without time.Duration, startAt *time.Time) float64 {
	if fl.GapTarget <= 0 {
		return 0
	}
	added := gapMissProbability(with, fl.GapTarget) - gapMissProbability(without, fl.GapTarget)
	if added <= 0 {
		return 0
	}
	if end := start.Add(fl.DecodeTime); end.After(*startAt) {
		*startAt = end
	}
	return lateLossShare * ch.valueOf(fl) * added
}

// MaxPause returns the longest pause that meets an objective for certain.
func MaxPause(target time.Duration) time.Duration {
	return time.Duration(safeGapRatio * float64(target))
}

// gapMissProbability returns the probability that a pause misses its objective.
func gapMissProbability(pause, target time.Duration) float64 {
	return ramp(float64(pause)/float64(target), safeGapRatio, missedGapRatio)
}

// delayLoss returns the loss of the pending prompts that are prefilled later
// because of a part. Parts of a group are prefilled ahead of whole prompts.
func (ch *chooser) delayLoss(st *state, part time.Duration, parts int) float64 {
	delay := part
	if parts == 1 {
		delay = time.Duration(prefillOverlapShare * float64(part))
	}
	loss := 0.0
	for i := range st.engine.Pending {
		pp := &st.engine.Pending[i]
		firstEvent := pp.DoneAt.Add(forecaster.PassTime(ch.rq.Profile, 1, pp.Flight.Memory))
		loss += lateLossShare * ch.valueOf(&pp.Flight) * ch.addedMissProbability(firstEvent, delay, pp.Flight.FirstEventTarget)
		if !pp.Flight.FirstEventDeadline.IsZero() {
			loss += (1 - lateLossShare) * ch.valueOf(&pp.Flight) * ch.addedMissProbability(firstEvent, delay, pp.Flight.FirstEventDeadline)
		}
	}
	return loss
}

// addedMissProbability returns by how much a delay increases the probability that
// a first event predicted for firstEvent comes after limit.
func (ch *chooser) addedMissProbability(firstEvent time.Time, delay time.Duration, limit time.Time) float64 {
	return ch.missProbability(firstEvent.Add(delay), limit) - ch.missProbability(firstEvent, limit)
}

// valueOf returns the value of another request, as it counts for this one by their ranks.
func (ch *chooser) valueOf(fl *ml.Flight) float64 {
	return fl.Value * cmp.Or(fl.Weight, 1) / cmp.Or(ch.rq.Weight, 1)
}

// RequestValue returns the value of an answer to its caller. It grows with the
// length of the prompt, that is with the work that the caller has invested.
func RequestValue(prompt ml.Tokens) float64 {
	const base, perToken = 1.0, 1.0 / 8000
	return base + perToken*float64(prompt)
}

// ownLoss returns the caller's loss for a first event at firstEvent.
func (ch *chooser) ownLoss(firstEvent time.Time) float64 {
	late := ch.missProbability(firstEvent, ch.rq.FirstEventTarget)
	abandoned := ch.missProbability(firstEvent, ch.rq.FirstEventDeadline)
	return ch.rq.Value * (lateLossShare*late + (1-lateLossShare)*abandoned)
}

// missProbability returns the probability that a first event predicted for
// firstEvent comes after limit. The prediction error is taken to be proportional
// to the predicted time.
func (ch *chooser) missProbability(firstEvent, limit time.Time) float64 {
	predicted, timeLeft := firstEvent.Sub(ch.now), limit.Sub(ch.now)
	if timeLeft <= 0 {
		return 1
	}
	return min(missAtPredicted*math.Pow(float64(timeLeft)/float64(max(predicted, 1)), -missDecayPower), 1)
}

// waitLoss returns the loss for waiting until start, which leaves less time for
// delays that can't be predicted.
func (ch *chooser) waitLoss(start time.Time) float64 {
	timeLeft := ch.rq.FirstEventTarget.Sub(ch.now)
	if timeLeft <= 0 {
		return 0
	}
	return maxWaitLossShare * ch.rq.Value * min(float64(start.Sub(ch.now))/float64(timeLeft), 1)
}

// ramp rises linearly from 0 at low to 1 at high.
func ramp(x, low, high float64) float64 {
	return min(max((x-low)/(high-low), 0), 1)
}
