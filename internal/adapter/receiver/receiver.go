// Package receiver serves callers over HTTP: the common completions API with
// server-sent events, and plain services below /services/.
package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/decision/admitter"
	"github.com/mulberrylever/mulberrylever/internal/duty/claimer"
	"github.com/mulberrylever/mulberrylever/internal/duty/dispatcher"
	"github.com/mulberrylever/mulberrylever/internal/setting/configurer"
	"github.com/mulberrylever/mulberrylever/internal/setting/loader"
	"github.com/mulberrylever/mulberrylever/internal/state/auditor"
	"github.com/mulberrylever/mulberrylever/internal/state/keeper"
)

// The headers of the callers' API.
const (
	headerTimeout        = "Mulberrylever-Timeout-Ms"
	headerRequestID      = "Mulberrylever-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
)

// Receiver serves callers. Its exported fields are set before Handler is called.
type Receiver struct {
	Settings   loader.Settings
	Keeper     *keeper.Keeper
	Admitter   *admitter.Admitter
	Dispatcher *dispatcher.Dispatcher
	Claimer    *claimer.Claimer
	Auditor    *auditor.Auditor
	Models     func() []ml.ModelID // the models that GET /v1/models lists
	Observer   Observer
	Log        *slog.Logger

	teamsByKey map[string]ml.TeamID // by access key
}

// Handler returns the HTTP handler.
func (re *Receiver) Handler() http.Handler {
	re.teamsByKey = make(map[string]ml.TeamID)
	for _, ak := range re.Settings.AccessKeys {
		re.teamsByKey[ak.Key] = ak.Team
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", re.serve(re.complete))
	mux.HandleFunc("POST /v1/chat/completions", re.serve(re.chat))
	mux.HandleFunc("GET /v1/models", re.serve(re.listModels))
	mux.HandleFunc("/services/{service}/", re.serve(re.callService))
	mux.HandleFunc("/", re.serve(func(*call) error {
		return &ml.Error{Type: ml.ErrNotFound, Step: "find path", NotRun: true, Err: errors.New("no such path")}
	}))
	return mux
}

// call is one HTTP request of a caller and the state of its response.
type call struct {
	w         http.ResponseWriter
	r         *http.Request
	id        ml.RequestID
	team      ml.TeamID
	arrived   time.Time
	responded bool      // the response has begun
	deadline  time.Time // zero until it is known
	record    CallRecord
}

// serve wraps a handler with what every call needs: the request id, the access
// check, the error response, the log line and the metrics.
func (re *Receiver) serve(handle func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ca := &call{w: w, r: r, id: ml.RequestID(uuid.NewString()), arrived: time.Now()}
		w.Header().Set(headerRequestID, string(ca.id))
		writeTimeout := configurer.Millis(re.Settings.Limits.WriteTimeoutMs)
		defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) }()
		ca.record = CallRecord{RequestID: ca.id, Method: r.Method, Path: r.URL.Path}
		err := re.authorize(ca)
		if err == nil {
			err = handle(ca)
		}
		re.finish(ca, err)
	}
}

func (re *Receiver) authorize(ca *call) error {
	key, found := strings.CutPrefix(ca.r.Header.Get("Authorization"), "Bearer ")
	team, known := re.teamsByKey[key]
	if !found || !known {
		return &ml.Error{Type: ml.ErrUnauthorized, Step: "check access key", NotRun: true, Err: errors.New("no valid bearer key in Authorization")}
	}
	ca.team, ca.record.Team = team, team
	return nil
}

// finish sends an error response, unless a response has begun, and records the
// call.
func (re *Receiver) finish(ca *call, err error) {
	now := time.Now()
	ca.record.Duration = now.Sub(ca.arrived)
	const deadlineSlack = 500 * time.Millisecond
	_ = re.Auditor.Check(auditor.FinishInTime, ca.deadline.IsZero() || now.Before(ca.deadline.Add(deadlineSlack)),
		"request %s ended after %v", ca.id, ca.record.Duration)
	if err != nil {
		er := ml.AsError("serve", err)
		ca.record.Error = er
		if !ca.responded {
			writeError(ca.w, er)
		}
	}
	re.Observer.Observe(now, ca.record)
	re.logCall(ca.record)
}

func (re *Receiver) logCall(cr CallRecord) {
	attrs := []any{
		"request", cr.RequestID, "team", cr.Team, "path", cr.Path, "ms", millis(cr.Duration),
		"ttftMs", millis(cr.TTFT), "promptTokens", cr.PromptTokens, "tokens", cr.AnswerTokens, "attempts", cr.Attempts, "peer", cr.Endpoint,
	}
	if cr.Error == nil {
		re.Log.Info("request served", attrs...)
		return
	}
	attrs = append(attrs, "type", cr.Error.Type, "step", cr.Error.Step, "at", cr.Error.Peer, "notRun", cr.Error.NotRun, "error", cr.Error.Err)
	re.Log.Warn("request failed", attrs...)
}

// deadline returns when the request must be complete, and sets it in the call.
func (re *Receiver) deadline(ca *call, defaultMs int64) (time.Time, error) {
	co := re.Keeper.View().Config
	ms := defaultMs
	if text := ca.r.Header.Get(headerTimeout); text != "" {
		given, err := strconv.ParseInt(text, 10, 64)
		if err != nil || given <= 0 {
			return time.Time{}, invalid(headerTimeout, text, "want a whole number of milliseconds above 0")
		}
		ms = min(given, co.MaxTimeoutMs)
	}
	ca.deadline = ca.arrived.Add(configurer.Millis(ms))
	return ca.deadline, nil
}

// readBody admits a request and reads its body, up to the limit. The body's bytes
// count as in flight until the ticket is released.
func (re *Receiver) readBody(ca *call) ([]byte, *admitter.Ticket, error) {
	limit := re.Settings.Limits.MaxBodyBytes
	size := ca.r.ContentLength
	if size < 0 {
		size = limit
	}
	if size > limit {
		return nil, nil, tooLarge(limit)
	}
	ti, err := re.Admitter.Admit(ca.team, re.Keeper.View().Config.TeamFor(ca.team).MaxInFlight, size)
	if err != nil {
		er := *ml.AsError("admit", err)
		er.RetryAfter = configurer.Millis(re.Keeper.View().Config.Retries.RetryAfterMs)
		return nil, nil, &er
	}
	rc := http.NewResponseController(ca.w)
	_ = rc.SetReadDeadline(time.Now().Add(configurer.Millis(re.Settings.Limits.WriteTimeoutMs)))
	body, err := io.ReadAll(http.MaxBytesReader(ca.w, ca.r.Body, limit))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	if err != nil {
		ti.Release()
		if mb := (*http.MaxBytesError)(nil); errors.As(err, &mb) {
			return nil, nil, tooLarge(limit)
		}
		return nil, nil, &ml.Error{Type: ml.ErrInvalidRequest, Step: "read body", NotRun: true, Err: err}
	}
	return body, ti, nil
}

func (re *Receiver) listModels(ca *call) error {
	type model struct {
		ID      ml.ModelID `json:"id"`
		Object  string     `json:"object"`
		OwnedBy string     `json:"owned_by"`
	}
	data := []model{}
	for _, id := range re.Models() {
		data = append(data, model{ID: id, Object: "model", OwnedBy: "mulberrylever"})
	}
	return writeJSON(ca.w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", data})
}

// status returns the HTTP status for a type of error.
func status(ty ml.ErrorType) int {
	switch ty {
	case ml.ErrInvalidRequest:
		return http.StatusBadRequest
	case ml.ErrUnauthorized:
		return http.StatusUnauthorized
	case ml.ErrNotFound:
		return http.StatusNotFound
	case ml.ErrTooLarge:
		return http.StatusRequestEntityTooLarge
	case ml.ErrOverloaded:
		return http.StatusTooManyRequests
	case ml.ErrDeadline:
		return http.StatusGatewayTimeout
	case ml.ErrEndpointFailed, ml.ErrOutcomeUnknown:
		return http.StatusBadGateway
	case ml.ErrKeyReused:
		return http.StatusUnprocessableEntity
	case ml.ErrKeyExpired:
		return http.StatusGone
	default:
		return http.StatusServiceUnavailable
	}
}

// errorBody is the body of every error response.
type errorBody struct {
	Error struct {
		Type    ml.ErrorType `json:"type"`
		Message string       `json:"message"`
		NotRun  bool         `json:"notRun"`
		Step    string       `json:"step"`
		Peer    string       `json:"peer"`
	} `json:"error"`
}

func newErrorBody(er *ml.Error) errorBody {
	eb := errorBody{}
	eb.Error.Type, eb.Error.NotRun, eb.Error.Step, eb.Error.Peer = er.Type, er.NotRun, er.Step, er.Peer
	eb.Error.Message = er.Err.Error()
	return eb
}

func writeError(w http.ResponseWriter, er *ml.Error) {
	if er.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(er.RetryAfter.Seconds()))))
	}
	_ = writeJSON(w, status(er.Type), newErrorBody(er))
}

func writeJSON(w http.ResponseWriter, code int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return &ml.Error{Type: ml.ErrUnavailable, Step: "write to caller", Err: err}
	}
	return nil
}

func invalid(field, value, problem string) error {
	return &ml.Error{
		Type: ml.ErrInvalidRequest, Step: "check request", NotRun: true,
		Err: fmt.Errorf("%s: %s (got %q)", field, problem, value),
	}
}

func tooLarge(limit int64) error {
	return &ml.Error{Type: ml.ErrTooLarge, Step: "read body", NotRun: true, Err: fmt.Errorf("the body is larger than %d bytes", limit)}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// callerContext returns the context that ends when the caller disconnects.
func callerContext(ca *call) context.Context { return ca.r.Context() }
