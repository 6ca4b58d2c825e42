package placer

import (
	"math"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/forecaster"
)

// option predicts what a part of the prompt costs at one engine.
func (ch *chooser) option(st *state, part time.Duration, parts int) option {
	op := option{st: st, clear: st.engine.Free}
	if !st.fits && !st.Blocked {
		op.clear = later(op.clear, firstEnd(&st.engine))
	}
	base := ch.rq.Value * failLoss * st.FailureRate
	if st.Endpoint.Domain != ch.rq.Domain {
		base += farCost
	}
	base += freshCost * ch.held(&st.engine) / float64(parts) / (1 + ch.rq.UnseenRequests/unseenHalf) // one of them answers
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
		if at := fl.FirstEventAt.Add(fl.DecodeTime); at.Before(end) || end.Equal(en.Free) {
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
		if fl := &en.Writers[i]; fl.GapTarget == ch.rq.GapTarget {
			latest = later(latest, fl.SentAt)
		}
	}
	for i := range en.Readers {
		if fl := &en.Readers[i].Flight; !fl.Helper && fl.GapTarget == ch.rq.GapTarget {
			latest = later(latest, fl.SentAt)
		}
	}
	writing := forecaster.DecodeTime(ch.rq.Profile, ch.rq.Prompt, ch.rq.Answer)
	return min(float64(ch.now.Sub(latest))/float64(max(writing, 1)), 1)
}

// pauses returns the loss of those whose answers pause longer because a part
// is read beside them. It puts off clear until they have ended.
func (ch *chooser) pauses(st *state, part time.Duration, parts int, clear *time.Time) float64 {
	en := &st.engine
	pass := forecaster.Pass(ch.rq.Profile, max(len(en.Writers), 1), en.Context)
	most := forecaster.MostRead(ch.rq.Profile, ch.rq.Prompt, forecaster.PrefillTime(ch.rq.Profile, ch.rq.Prompt, 1))
	without := pass + min(en.Backlog(ch.now), most)
	with := pass + min(en.Backlog(ch.now)+part, max(most, without-pass))
	loss := 0.0
	for i := range en.Writers {
		loss += ch.pause(&en.Writers[i], en.Writers[i].FirstEventAt, with, without, clear)
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
	if fl.GapTarget <= 0 {
		return 0
	}
	worse := over(with, fl.GapTarget) - over(without, fl.GapTarget)
	if worse <= 0 {
		return 0
	}
	if end := began.Add(fl.DecodeTime); end.After(*clear) {
		*clear = end
	}
	return lateLoss * fl.Value * worse
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
		first := re.Done.Add(forecaster.Pass(ch.rq.Profile, 1, re.Flight.Memory))
		loss += lateLoss * re.Flight.Value * ch.miss(first, by, re.Flight.FirstEventTarget)
		if !re.Flight.FirstEventDeadline.IsZero() {
			loss += (1 - lateLoss) * re.Flight.Value * ch.miss(first, by, re.Flight.FirstEventDeadline)
		}
	}
	return loss
}

// miss returns how much more likely a first event is to miss a time when it
// comes later.
func (ch *chooser) miss(first time.Time, by time.Duration, at time.Time) float64 {
	return ch.missed(first.Add(by), at) - ch.missed(first, at)
}

// RequestValue returns what an answer is worth to its caller: it grows with the work
// that the caller has put in.
func RequestValue(prompt ml.Tokens) float64 {
	const least, perToken = 1.0, 1.0 / 8000
	return least + perToken*float64(prompt)
}

// selfLoss returns what the caller loses when its first event comes at first.
func (ch *chooser) selfLoss(first time.Time) float64 {
	late := ch.missed(first, ch.rq.FirstEventTarget)
	lost := ch.missed(first, ch.rq.FirstEventDeadline)
	return ch.rq.Value * (lateLoss*late + (1-lateLoss)*lost)
}

// missed returns how likely a first event that is predicted for first comes
// after at: what takes long may take longer still.
func (ch *chooser) missed(first, at time.Time) float64 {
	predicted, left := first.Sub(ch.now), at.Sub(ch.now)
	if left <= 0 {
		return 1
	}
	return min(missEven*math.Pow(float64(left)/float64(max(predicted, 1)), -missFalls), 1)
}

// waitLoss returns the risk of waiting until start: less is left for what can't
// be predicted.
func (ch *chooser) waitLoss(start time.Time) float64 {
	left := ch.rq.FirstEventTarget.Sub(ch.now)
	if left <= 0 {
		return 0
	}
	return waitCost * ch.rq.Value * min(float64(start.Sub(ch.now))/float64(left), 1)
}

// ramp rises from 0 at low to 1 at high.
func ramp(x, low, high float64) float64 {
	return min(max((x-low)/(high-low), 0), 1)
}
