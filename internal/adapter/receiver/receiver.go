// Package receiver is the callers' interface: the usual completions API over
// HTTP with server-sent events, and plain services below /services/.
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

// The headers of the callers' interface.
const (
	headerTimeout   = "Mulberrylever-Timeout-Ms"
	headerRequestID = "Mulberrylever-Request-Id"
	headerKey       = "Idempotency-Key"
	headerLastEvent = "Last-Event-ID"
)

// Receiver serves callers.
type Receiver struct {
	Settings   loader.Settings
	Keeper     *keeper.Keeper
	Admitter   *admitter.Admitter
	Dispatcher *dispatcher.Dispatcher
	Claimer    *claimer.Claimer
	Auditor    *auditor.Auditor
	Models     func() []ml.ModelID
	Observer   Observer
	Log        *slog.Logger

	teams map[string]ml.TeamID // by access key
}

// Handler returns the HTTP handler.
func (re *Receiver) Handler() http.Handler {
	re.teams = make(map[string]ml.TeamID)
	for _, ak := range re.Settings.AccessKeys {
		re.teams[ak.Key] = ak.Team
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", re.serve(re.complete))
	mux.HandleFunc("POST /v1/chat/completions", re.serve(re.chat))
	mux.HandleFunc("GET /v1/models", re.serve(re.listModels))
	mux.HandleFunc("/services/{service}/", re.serve(re.callService))
	mux.HandleFunc("/", re.serve(func(*visit) error {
		return &ml.Error{Type: ml.ErrNotFound, Step: "find path", NotRun: true, Err: errors.New("no such path")}
	}))
	return mux
}

// visit is one call of a caller.
type visit struct {
	w       http.ResponseWriter
	r       *http.Request
	id      ml.RequestID
	team    ml.TeamID
	arrived time.Time
	started bool // the answer has begun
	due     time.Time
	entry   CallRecord
}

// serve wraps what every call needs: the team, the request's id, the answer to
// an error, the log line and the metrics.
func (re *Receiver) serve(handle func(*visit) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		vi := &visit{w: w, r: r, id: ml.RequestID(uuid.NewString()), arrived: time.Now()}
		w.Header().Set(headerRequestID, string(vi.id))
		limit := configurer.Millis(re.Settings.Limits.WriteTimeoutMs)
		defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit)) }()
		vi.entry = CallRecord{RequestID: vi.id, Method: r.Method, Path: r.URL.Path}
		err := re.authorize(vi)
		if err == nil {
			err = handle(vi)
		}
		re.finish(vi, err)
	}
}

func (re *Receiver) authorize(vi *visit) error {
	key, found := strings.CutPrefix(vi.r.Header.Get("Authorization"), "Bearer ")
	team, known := re.teams[key]
	if !found || !known {
		return &ml.Error{Type: ml.ErrUnauthorized, Step: "check access key", NotRun: true, Err: errors.New("no valid bearer key in Authorization")}
	}
	vi.team, vi.entry.Team = team, team
	return nil
}

// finish answers an error and records the call.
func (re *Receiver) finish(vi *visit, err error) {
	now := time.Now()
	vi.entry.Duration = now.Sub(vi.arrived)
	const slack = 500 * time.Millisecond
	_ = re.Auditor.Check(auditor.FinishInTime, vi.due.IsZero() || now.Before(vi.due.Add(slack)),
		"request %s ended after %v", vi.id, vi.entry.Duration)
	if err != nil {
		er := ml.AsError("serve", err)
		vi.entry.Error = er
		if !vi.started {
			writeError(vi.w, er)
		}
	}
	re.Observer.Observe(now, vi.entry)
	re.logEntry(vi.entry)
}

func (re *Receiver) logEntry(en CallRecord) {
	attrs := []any{
		"request", en.RequestID, "team", en.Team, "path", en.Path, "ms", millis(en.Duration),
		"ttftMs", millis(en.TTFT), "promptTokens", en.PromptTokens, "tokens", en.AnswerTokens, "attempts", en.Attempts, "peer", en.Endpoint,
	}
	if en.Error == nil {
		re.Log.Info("served", attrs...)
		return
	}
	attrs = append(attrs, "type", en.Error.Type, "step", en.Error.Step, "at", en.Error.Peer, "notRun", en.Error.NotRun, "error", en.Error.Err)
	re.Log.Warn("not served", attrs...)
}

// deadline works out when the request must be complete.
func (re *Receiver) deadline(vi *visit, defaultMs int64) (time.Time, error) {
	co := re.Keeper.View().Config
	ms := defaultMs
	if text := vi.r.Header.Get(headerTimeout); text != "" {
		given, err := strconv.ParseInt(text, 10, 64)
		if err != nil || given <= 0 {
			return time.Time{}, invalid(headerTimeout, text, "want a whole number of milliseconds above 0")
		}
		ms = min(given, co.MaxTimeoutMs)
	}
	vi.due = vi.arrived.Add(configurer.Millis(ms))
	return vi.due, nil
}

// readBody reads a bounded body. The ticket holds its bytes.
func (re *Receiver) readBody(vi *visit) ([]byte, *admitter.Ticket, error) {
	limit := re.Settings.Limits.MaxBodyBytes
	size := vi.r.ContentLength
	if size < 0 {
		size = limit
	}
	if size > limit {
		return nil, nil, tooLarge(limit)
	}
	ti, err := re.Admitter.Admit(vi.team, re.Keeper.View().Config.TeamFor(vi.team).MaxInFlight, size)
	if err != nil {
		er := *ml.AsError("admit", err)
		er.RetryAfter = configurer.Millis(re.Keeper.View().Config.Retries.RetryAfterMs)
		return nil, nil, &er
	}
	rc := http.NewResponseController(vi.w)
	_ = rc.SetReadDeadline(time.Now().Add(configurer.Millis(re.Settings.Limits.WriteTimeoutMs)))
	body, err := io.ReadAll(http.MaxBytesReader(vi.w, vi.r.Body, limit))
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

func (re *Receiver) listModels(vi *visit) error {
	type model struct {
		ID      ml.ModelID `json:"id"`
		Object  string     `json:"object"`
		OwnedBy string     `json:"owned_by"`
	}
	data := []model{}
	for _, id := range re.Models() {
		data = append(data, model{ID: id, Object: "model", OwnedBy: "mulberrylever"})
	}
	return writeJSON(vi.w, http.StatusOK, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", data})
}

// status returns the HTTP status of an error.
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

// errorBody is the body of every refusal and failure.
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

func invalid(field, value, what string) error {
	return &ml.Error{
		Type: ml.ErrInvalidRequest, Step: "check request", NotRun: true,
		Err: fmt.Errorf("%s: %s (got %q)", field, what, value),
	}
}

func tooLarge(limit int64) error {
	return &ml.Error{Type: ml.ErrTooLarge, Step: "read body", NotRun: true, Err: fmt.Errorf("the body is larger than %d bytes", limit)}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// callerContext ends with the caller's connection.
func callerContext(vi *visit) context.Context { return vi.r.Context() }
