package receiver

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/claimer"
	"github.com/mulberrylever/mulberrylever/internal/duty/dispatcher"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/state/folder"
	"github.com/mulberrylever/mulberrylever/internal/state/mutator"
)

// maxKey bounds an idempotency key in bytes.
const maxKey = 200

// callService serves a call to a plain service.
func (re *Receiver) callService(vi *visit) error {
	name := ml.ServiceName(vi.r.PathValue("service"))
	vi.entry.Service = name
	cf := re.Keeper.View().Config
	se := cf.ServiceFor(name)
	deadline, err := re.deadline(vi, se.TimeoutMs)
	if err != nil {
		return err
	}
	body, ti, err := re.readBody(vi)
	if err != nil {
		return err
	}
	defer ti.Release()
	vi.entry.Admitted = true
	rq := &dispatcher.Request{ID: vi.id, Team: vi.team, Deadline: deadline, Arrived: vi.arrived}
	sc := ml.ServiceCall{ID: ml.GrantID(vi.id), Method: vi.r.Method, Path: servicePath(vi.r, name), Header: vi.r.Header, Body: body}
	var an ml.ServiceAnswer
	if se.Idempotent || vi.r.Method == http.MethodGet || vi.r.Method == http.MethodHead {
		an, err = re.Dispatcher.Call(callerContext(vi), rq, name, sc)
	} else {
		an, err = re.callOnce(vi, rq, name, sc, cf.IdempotencyKeyTTL())
	}
	vi.entry.Attempts = max(rq.Attempts, 1)
	if err != nil {
		return err
	}
	return re.answerService(vi, an)
}

// callOnce serves a call that may not be repeated. It runs to its end even
// when the caller leaves, so that its outcome is known.
func (re *Receiver) callOnce(vi *visit, rq *dispatcher.Request, name ml.ServiceName, sc ml.ServiceCall, life time.Duration) (ml.ServiceAnswer, error) {
	key, err := checkKey(vi.r.Header.Get(headerKey), vi.arrived, life)
	if err != nil {
		return ml.ServiceAnswer{}, err
	}
	sc.Key = key
	if mutator.Disabled(mutator.Claims) {
		return re.Dispatcher.CallAtMostOnce(callerContext(vi), rq, name, sc, func(time.Time) error { return nil })
	}
	return re.Claimer.Do(context.WithoutCancel(callerContext(vi)), claimer.Call{
		Key: folder.ClaimKey(vi.team, name, key), Hash: folder.HashCall(sc.Method, sc.Path, sc.Body), TTL: life, Deadline: rq.Deadline,
		Run: func(ctx context.Context, mayRun func(time.Time) error) (ml.ServiceAnswer, error) {
			rq.Claim = string(key)
			return re.Dispatcher.CallAtMostOnce(ctx, rq, name, sc, mayRun)
		},
	})
}

func (re *Receiver) answerService(vi *visit, an ml.ServiceAnswer) error {
	vi.started = true
	for name, values := range an.Header {
		vi.w.Header()[name] = values
	}
	vi.w.WriteHeader(an.Status)
	_ = http.NewResponseController(vi.w).SetWriteDeadline(time.Now().Add(configurer.Millis(re.Settings.Limits.WriteTimeoutMs)))
	if _, err := vi.w.Write(an.Body); err != nil {
		return &ml.Error{Type: ml.ErrUnavailable, Step: "write to caller", Err: err}
	}
	return nil
}

// checkKey returns the idempotency key. A key that carries its time, as a
// UUID of version 7 does, is refused once it is older than keys are kept.
func checkKey(key string, now time.Time, life time.Duration) (ml.IdempotencyKey, error) {
	if key == "" {
		return "", invalid(headerKey, "", "is required on calls that may not be repeated")
	}
	if len(key) > maxKey || strings.ContainsAny(key, "/\n\r") {
		return "", invalid(headerKey, shorten([]byte(key)), fmt.Sprintf("want at most %d bytes without a slash", maxKey))
	}
	if made, carries := timeOf(key); carries && now.Sub(made) > life {
		return "", &ml.Error{
			Type: ml.ErrKeyExpired, Step: "check key",
			Err: fmt.Errorf("the key is older than %v, so an earlier call can't be ruled out", life),
		}
	}
	return ml.IdempotencyKey(key), nil
}

// timeOf returns the time that a key carries, if it does.
func timeOf(key string) (time.Time, bool) {
	const withTime = 7
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != withTime {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// servicePath returns the path below the service's root, with the query.
func servicePath(r *http.Request, name ml.ServiceName) string {
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(name)), "/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
