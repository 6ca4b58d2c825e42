package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/pacer"
	"github.com/mulberrylever/mulberrylever/internal/standin/answerer"
)

const (
	// deadlineTolerance is the time after a request's timeout within which its end
	// still counts as in time.
	deadlineTolerance = time.Second
	// maxAttempts bounds the connections made for one request.
	maxAttempts = 60
	// retryDelay is the wait before the next attempt.
	retryDelay = 150 * time.Millisecond
)

// errorBody is the body of an error answer.
type errorBody struct {
	Error struct {
		Type    ml.ErrorType `json:"type"`
		Message string       `json:"message"`
		NotRun  bool         `json:"notRun"`
	} `json:"error"`
}

// streamReader reads one streamed answer over one or more connections.
type streamReader struct {
	Result
	expected       answerer.Answerer // computes the expected tokens
	answerTokens   int               // expected length of the answer
	received       int               // number of tokens received
	lastID         string            // id of the last event, sent to resume
	startedAt      time.Time
	firstTokenAt   time.Time
	lastTokenAt    time.Time
	lastReceivedMs atomic.Int64 // when the connection last received data, in Unix milliseconds
}

// complete sends a prompt and checks its answer. When a connection is lost, it
// reconnects, starting from the next target, and resumes after the last event.
func (ge *Generator) complete(ctx context.Context, ar arrival) Result {
	text := ar.text()
	timeout := time.Duration(ar.Prompt.TimeoutMs) * time.Millisecond
	sr := &streamReader{expected: answerer.New(text), answerTokens: ar.Prompt.AnswerTokens, startedAt: time.Now()}
	sr.Kind, sr.Tokens = ar.Prompt.Name, ar.Tokens
	body, _ := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
		RequestID string `json:"request_id"` // needed when the target is an engine
	}{ge.Plan.Model, text, ar.Prompt.AnswerTokens, true, fmt.Sprintf("load-%d-%d", ge.Seed, ar.Number)})
	ctx, cancel := context.WithTimeout(ctx, timeout+deadlineTolerance)
	defer cancel()
	for attempt := range maxAttempts {
		timeLeft := timeout - time.Since(sr.startedAt)
		if timeLeft <= 0 {
			break
		}
		if ended := ge.connect(ctx, sr, ar, attempt, timeLeft, body); ended {
			return sr.finish()
		}
		sr.Reconnects++
		time.Sleep(retryDelay)
	}
	sr.Outcome = ConnectionLost
	if ctx.Err() != nil {
		sr.Outcome = TimedOut
	}
	return sr.finish()
}

// connect makes one connection for a prompt and reads the answer. It reports whether
// the request has ended. It closes the connection when the target no longer answers
// readiness probes and sends no data.
func (ge *Generator) connect(ctx context.Context, sr *streamReader, ar arrival, attempt int, timeLeft time.Duration, body []byte) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target := ge.pickTarget(ar.TargetIndex + attempt)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ge.Plan.Targets[target].Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		sr.Message = err.Error()
		return false
	}
	setHeaders(rq, ar, timeLeft)
	if sr.lastID != "" {
		rq.Header.Set("Last-Event-ID", sr.lastID)
	}
	sr.lastReceivedMs.Store(time.Now().UnixMilli())
	go func() { _ = ge.loopWatchTarget(ctx, cancel, target, &sr.lastReceivedMs) }()
	return sr.read(ge.client.Do(rq))
}

// loopWatchTarget cancels a connection when its target does not answer readiness
// probes and has sent no data for maxSilence.
func (ge *Generator) loopWatchTarget(ctx context.Context, cancel func(), target int, lastReceivedMs *atomic.Int64) error {
	const checkInterval, maxSilence = 100 * time.Millisecond, 700 * time.Millisecond
	return pacer.Every(ctx, checkInterval, func(now time.Time) {
		if !ge.reachable[target].Load() && now.UnixMilli()-lastReceivedMs.Load() > maxSilence.Milliseconds() {
			cancel()
		}
	})
}

// setHeaders sets the team's key, the content type and the remaining time.
func setHeaders(rq *http.Request, ar arrival, timeLeft time.Duration) {
	rq.Header.Set("Authorization", "Bearer "+ar.Team.Key)
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Mulberrylever-Timeout-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
}

// read reads the answer of one connection. It returns false if the connection was
// lost before the end of the answer.
func (sr *streamReader) read(rs *http.Response, err error) bool {
	if err != nil {
		sr.Message = err.Error()
		return false
	}
	defer rs.Body.Close()
	sr.Status = rs.StatusCode
	if rs.StatusCode != http.StatusOK {
		sr.readError(rs.Body)
		return true
	}
	sc := bufio.NewScanner(rs.Body)
	for sc.Scan() {
		sr.lastReceivedMs.Store(time.Now().UnixMilli())
		if ended := sr.handleLine(sc.Text()); ended {
			_, _ = io.Copy(io.Discard, rs.Body) // so that the connection can be reused
			return true
		}
	}
	sr.Message = "connection lost before the end of the answer"
	return false
}

// handleLine parses one line of the event stream. It returns true when the answer
// has ended.
func (sr *streamReader) handleLine(line string) bool {
	if id, found := strings.CutPrefix(line, "id: "); found {
		sr.lastID = id
		sr.Endpoint, _, _ = strings.Cut(id, "/")
		return false
	}
	data, found := strings.CutPrefix(line, "data: ")
	if !found {
		return false
	}
	if data == "[DONE]" {
		sr.Outcome = OK
		if sr.received != sr.answerTokens {
			sr.Outcome = Truncated
			sr.Message = fmt.Sprintf("%d of %d tokens", sr.received, sr.answerTokens)
		}
		return true
	}
	if strings.HasPrefix(data, `{"error"`) {
		sr.readError(strings.NewReader(data))
		return true
	}
	return sr.handleToken([]byte(data))
}

// handleToken checks a token and its event id. It returns true, which ends the
// answer, if they are wrong.
func (sr *streamReader) handleToken(data []byte) bool {
	ev := struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}{}
	if err := json.Unmarshal(data, &ev); err != nil || len(ev.Choices) != 1 {
		return false
	}
	now := time.Now()
	if sr.firstTokenAt.IsZero() {
		sr.firstTokenAt = now
	}
	sr.lastTokenAt = now
	sr.received++
	if want := sr.expected.Token(int64(sr.received)); ev.Choices[0].Text != want || !strings.HasSuffix("/"+sr.lastID, "/"+strconv.Itoa(sr.received)) {
		sr.Outcome = WrongAnswer
		sr.Message = fmt.Sprintf("token %d is %q, want %q, event %s", sr.received, ev.Choices[0].Text, want, sr.lastID)
		return true
	}
	return false
}

// readError sets the outcome from the body of an error answer.
func (sr *streamReader) readError(body io.Reader) {
	const maxErrorBytes = 64 << 10
	re := errorBody{}
	_ = json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&re)
	sr.Type, sr.Message = re.Error.Type, re.Error.Message
	sr.Outcome = Failed
	if re.Error.NotRun {
		sr.Outcome = Refused
	}
}

// finish computes the times and returns the result.
func (sr *streamReader) finish() Result {
	sr.TotalMs = millis(time.Since(sr.startedAt))
	if !sr.firstTokenAt.IsZero() {
		sr.TTFTMs = millis(sr.firstTokenAt.Sub(sr.startedAt))
	}
	if sr.received > 1 {
		sr.InterTokenMs = millis(sr.lastTokenAt.Sub(sr.firstTokenAt)) / float64(sr.received-1)
	}
	return sr.Result
}

// call makes a service call. It repeats the call until it gets an answer or its
// timeout passes. Non-idempotent calls are repeated with the same idempotency key.
func (ge *Generator) call(ctx context.Context, ar arrival) Result {
	started := time.Now()
	timeout := time.Duration(ar.Call.TimeoutMs) * time.Millisecond
	rs := Result{Kind: "lookup"}
	if ar.Call.NonIdempotent {
		rs.Kind, rs.Key = "once", fmt.Sprintf("load-%d-%d", ge.Seed, ar.TextSeed)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+deadlineTolerance)
	defer cancel()
	for attempt := range maxAttempts {
		timeLeft := timeout - time.Since(started)
		if timeLeft <= 0 {
			break
		}
		if ge.attemptCall(ctx, ar, timeLeft, attempt, &rs) {
			rs.TotalMs = millis(time.Since(started))
			return rs
		}
		rs.Reconnects++
		time.Sleep(retryDelay)
	}
	rs.TotalMs = millis(time.Since(started))
	if rs.Outcome == "" {
		rs.Outcome = ConnectionLost
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rs.Outcome = TimedOut
		}
	}
	return rs
}

// attemptCall makes one attempt. It returns false if the connection failed and the
// outcome of the call is unknown.
func (ge *Generator) attemptCall(ctx context.Context, ar arrival, timeLeft time.Duration, attempt int, rs *Result) bool {
	method, body := http.MethodGet, ""
	if ar.Call.NonIdempotent {
		method, body = http.MethodPost, `{"visit":"`+rs.Key+`"}`
	}
	target := ge.pickTarget(ar.TargetIndex + attempt)
	url := "http://" + ge.Plan.Targets[target].Address + "/services/" + ar.Call.Name + ar.Call.Path
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lastReceivedMs := atomic.Int64{}
	lastReceivedMs.Store(time.Now().UnixMilli())
	go func() { _ = ge.loopWatchTarget(ctx, cancel, target, &lastReceivedMs) }()
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return true
	}
	setHeaders(rq, ar, timeLeft)
	if rs.Key != "" {
		rq.Header.Set("Idempotency-Key", rs.Key)
		rq.GetBody = nil
	}
	resp, err := ge.client.Do(rq)
	if err != nil {
		rs.Message = err.Error()
		rs.Outcome = ""
		return false
	}
	defer resp.Body.Close()
	rs.Status = resp.StatusCode
	const minNonSuccessStatus = 300
	if resp.StatusCode < minNonSuccessStatus {
		rs.Outcome, rs.Type, rs.Message = OK, "", ""
		return true
	}
	sr := streamReader{}
	sr.readError(resp.Body)
	rs.Type, rs.Message, rs.Outcome = sr.Type, sr.Message, sr.Outcome
	// A later attempt's refusal says nothing about the attempts before it.
	if rs.Outcome == Refused && attempt > 0 {
		rs.Outcome = Failed
	}
	return true
}

// millis converts a duration to milliseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// CallNonIdempotent makes the plan's first non-idempotent call through its first
// target and returns a line with the answer.
func (pl Plan) CallNonIdempotent(ctx context.Context, key string) (string, error) {
	at := slices.IndexFunc(pl.Services, func(ca Call) bool { return ca.NonIdempotent })
	if at < 0 {
		return "", errors.New("the load file has no non-idempotent call")
	}
	ca := pl.Services[at]
	url := "http://" + pl.Targets[0].Address + "/services/" + ca.Name + ca.Path
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"visit":"`+key+`"}`))
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	setHeaders(rq, arrival{Team: pl.Teams[0]}, time.Duration(ca.TimeoutMs)*time.Millisecond)
	rq.Header.Set("Idempotency-Key", key)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	defer rs.Body.Close()
	const maxAnswerBytes = 64 << 10
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err != nil {
		return "", fmt.Errorf("read answer: %w", err)
	}
	if rs.StatusCode != http.StatusCreated {
		return "", fmt.Errorf("call: status %d: %s", rs.StatusCode, body)
	}
	return fmt.Sprintf("%s %s: %s", ca.Name, key, bytes.TrimSpace(body)), nil
}
