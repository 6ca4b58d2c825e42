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

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 200

// callService serves a call to a plain service.
func (re *Receiver) callService(ca *call) error {
	name := ml.ServiceName(ca.r.PathValue("service"))
	ca.record.Service = name
	cf := re.Keeper.View().Config
	se := cf.ServiceFor(name)
	deadline, err := re.deadline(ca, se.TimeoutMs)
	if err != nil {
		return err
	}
	body, ti, err := re.readBody(ca)
	if err != nil {
		return err
	}
	defer ti.Release()
	ca.record.Admitted = true
	rq := &dispatcher.Request{ID: ca.id, Team: ca.team, Deadline: deadline, Arrived: ca.arrived}
	sc := ml.ServiceCall{ID: ml.GrantID(ca.id), Method: ca.r.Method, Path: servicePath(ca.r, name), Header: ca.r.Header, Body: body}
	var an ml.ServiceAnswer
	if se.Idempotent || ca.r.Method == http.MethodGet || ca.r.Method == http.MethodHead {
		an, err = re.Dispatcher.Call(callerContext(ca), rq, name, sc)
	} else {
		an, err = re.callAtMostOnce(ca, rq, name, sc, cf.IdempotencyKeyTTL())
	}
	ca.record.Attempts = max(rq.Attempts, 1)
	if err != nil {
		return err
	}
	return re.writeServiceAnswer(ca, an)
}

// callAtMostOnce serves a call that may not be repeated. It runs to its end even if
// the caller disconnects, so that its outcome is known.
func (re *Receiver) callAtMostOnce(ca *call, rq *dispatcher.Request, name ml.ServiceName, sc ml.ServiceCall, keyTTL time.Duration) (ml.ServiceAnswer, error) {
	key, err := checkKey(ca.r.Header.Get(headerIdempotencyKey), ca.arrived, keyTTL)
	if err != nil {
		return ml.ServiceAnswer{}, err
	}
	sc.Key = key
	if mutator.Disabled(mutator.Claims) {
		return re.Dispatcher.CallAtMostOnce(callerContext(ca), rq, name, sc, func(time.Time) error { return nil })
	}
	return re.Claimer.Do(context.WithoutCancel(callerContext(ca)), claimer.Call{
		Key: folder.ClaimKey(ca.team, name, key), Hash: folder.HashCall(sc.Method, sc.Path, sc.Body), TTL: keyTTL, Deadline: rq.Deadline,
		Run: func(ctx context.Context, mayRun func(time.Time) error) (ml.ServiceAnswer, error) {
			rq.Claim = string(key)
			return re.Dispatcher.CallAtMostOnce(ctx, rq, name, sc, mayRun)
		},
	})
}

func (re *Receiver) writeServiceAnswer(ca *call, an ml.ServiceAnswer) error {
	ca.responded = true
	for name, values := range an.Header {
		ca.w.Header()[name] = values
	}
	ca.w.WriteHeader(an.Status)
	_ = http.NewResponseController(ca.w).SetWriteDeadline(time.Now().Add(configurer.Millis(re.Settings.Limits.WriteTimeoutMs)))
	if _, err := ca.w.Write(an.Body); err != nil {
		return &ml.Error{Type: ml.ErrUnavailable, Step: "write to caller", Err: err}
	}
	return nil
}

// checkKey checks an idempotency key. A UUID of version 7 holds the time of its
// creation. It is refused once it is older than keys are kept, since an earlier
// call with it could no longer be found.
func checkKey(key string, now time.Time, keyTTL time.Duration) (ml.IdempotencyKey, error) {
	if key == "" {
		return "", invalid(headerIdempotencyKey, "", "is required on calls that may not be repeated")
	}
	if len(key) > maxKeyBytes || strings.ContainsAny(key, "/\n\r") {
		return "", invalid(headerIdempotencyKey, truncate([]byte(key)), fmt.Sprintf("want at most %d bytes without a slash", maxKeyBytes))
	}
	if created, hasTime := keyTime(key); hasTime && now.Sub(created) > keyTTL {
		return "", &ml.Error{
			Type: ml.ErrKeyExpired, Step: "check key",
			Err: fmt.Errorf("the key is older than %v, so an earlier call can't be ruled out", keyTTL),
		}
	}
	return ml.IdempotencyKey(key), nil
}

// keyTime returns when a key was created, if the key holds that.
func keyTime(key string) (time.Time, bool) {
	const uuidVersion7 = 7
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// servicePath returns the path below the service's root, and the query.
func servicePath(r *http.Request, name ml.ServiceName) string {
	path := "/" + strings.TrimPrefix(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(name)), "/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
