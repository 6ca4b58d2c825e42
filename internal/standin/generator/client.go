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
	// slack is the time beyond a request's own within which its end counts
	// as in time.
	slack = time.Second
	// tries bounds how often a caller connects for one request.
	tries = 60
	// pauseBetween is the wait before a caller connects again.
	pauseBetween = 150 * time.Millisecond
)

// refusal is the body of an error.
type refusal struct {
	Error struct {
		Type    ml.ErrorType `json:"type"`
		Message string       `json:"message"`
		NotRun  bool         `json:"notRun"`
	} `json:"error"`
}

// reading is the state of one answer being read over one or more connections.
type reading struct {
	Result
	want    answerer.Answerer
	answer  int
	got     int
	lastID  string
	started time.Time
	first   time.Time
	last    time.Time
	heard   atomic.Int64 // when the connection last sent something, in Unix milliseconds
}

// complete sends a prompt and checks its answer. When a connection is lost
// the caller connects again, through another target, and goes on where it was.
func (ge *Generator) complete(ctx context.Context, ar arrival) Result {
	text := ar.text()
	limit := time.Duration(ar.Prompt.TimeoutMs) * time.Millisecond
	rd := &reading{want: answerer.New(text), answer: ar.Prompt.AnswerTokens, started: time.Now()}
	rd.Kind, rd.Tokens = ar.Prompt.Name, ar.Tokens
	body, _ := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
		RequestID string `json:"request_id"` // for a load sent to an engine directly
	}{ge.Plan.Model, text, ar.Prompt.AnswerTokens, true, fmt.Sprintf("load-%d-%d", ge.Seed, ar.Number)})
	ctx, cancel := context.WithTimeout(ctx, limit+slack)
	defer cancel()
	for try := range tries {
		left := limit - time.Since(rd.started)
		if left <= 0 {
			break
		}
		if ended := ge.connect(ctx, rd, ar, try, left, body); ended {
			return rd.finish()
		}
		rd.Reconnects++
		time.Sleep(pauseBetween)
	}
	rd.Outcome = Broken
	if ctx.Err() != nil {
		rd.Outcome = Late
	}
	return rd.finish()
}

// connect makes one connection for a prompt and reads its answer. It gives the
// connection up when its target is no longer ready and sends nothing.
func (ge *Generator) connect(ctx context.Context, rd *reading, ar arrival, try int, left time.Duration, body []byte) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target := ge.target(ar.Target + try)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ge.Plan.Targets[target].Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		rd.Message = err.Error()
		return false
	}
	setHeaders(rq, ar, left)
	if rd.lastID != "" {
		rq.Header.Set("Last-Event-ID", rd.lastID)
	}
	rd.heard.Store(time.Now().UnixMilli())
	go func() { _ = ge.loopWatch(ctx, cancel, target, &rd.heard) }()
	return rd.read(ge.client.Do(rq))
}

// loopWatch gives up a connection whose target is not ready and was silent
// for a while.
func (ge *Generator) loopWatch(ctx context.Context, giveUp func(), target int, heard *atomic.Int64) error {
	const interval, silence = 100 * time.Millisecond, 700 * time.Millisecond
	return pacer.Every(ctx, interval, func(now time.Time) {
		if !ge.alive[target].Load() && now.UnixMilli()-heard.Load() > silence.Milliseconds() {
			giveUp()
		}
	})
}

func setHeaders(rq *http.Request, ar arrival, left time.Duration) {
	rq.Header.Set("Authorization", "Bearer "+ar.Team.Key)
	rq.Header.Set("Content-Type", "application/json")
	rq.Header.Set("Mulberrylever-Timeout-Ms", strconv.FormatInt(left.Milliseconds(), 10))
}

// read reads one connection's answer. It returns false when the connection
// was lost.
func (rd *reading) read(rs *http.Response, err error) bool {
	if err != nil {
		rd.Message = err.Error()
		return false
	}
	defer rs.Body.Close()
	rd.Status = rs.StatusCode
	if rs.StatusCode != http.StatusOK {
		rd.refused(rs.Body)
		return true
	}
	sc := bufio.NewScanner(rs.Body)
	for sc.Scan() {
		rd.heard.Store(time.Now().UnixMilli())
		if ended := rd.line(sc.Text()); ended {
			_, _ = io.Copy(io.Discard, rs.Body) // so that the connection is kept
			return true
		}
	}
	rd.Message = "the connection was lost"
	return false
}

// line reads one line of the event stream. It returns true at the end.
func (rd *reading) line(line string) bool {
	if id, found := strings.CutPrefix(line, "id: "); found {
		rd.lastID = id
		rd.Endpoint, _, _ = strings.Cut(id, "/")
		return false
	}
	data, found := strings.CutPrefix(line, "data: ")
	if !found {
		return false
	}
	if data == "[DONE]" {
		rd.Outcome = OK
		if rd.got != rd.answer {
			rd.Outcome = Short
			rd.Message = fmt.Sprintf("%d of %d tokens", rd.got, rd.answer)
		}
		return true
	}
	if strings.HasPrefix(data, `{"error"`) {
		rd.refused(strings.NewReader(data))
		return true
	}
	return rd.token([]byte(data))
}

func (rd *reading) token(data []byte) bool {
	ev := struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}{}
	if err := json.Unmarshal(data, &ev); err != nil || len(ev.Choices) != 1 {
		return false
	}
	now := time.Now()
	if rd.first.IsZero() {
		rd.first = now
	}
	rd.last = now
	rd.got++
	if want := rd.want.Token(int64(rd.got)); ev.Choices[0].Text != want || !strings.HasSuffix("/"+rd.lastID, "/"+strconv.Itoa(rd.got)) {
		rd.Outcome = Wrong
		rd.Message = fmt.Sprintf("token %d is %q, want %q, event %s", rd.got, ev.Choices[0].Text, want, rd.lastID)
		return true
	}
	return false
}

func (rd *reading) refused(body io.Reader) {
	const most = 64 << 10
	re := refusal{}
	_ = json.NewDecoder(io.LimitReader(body, most)).Decode(&re)
	rd.Type, rd.Message = re.Error.Type, re.Error.Message
	rd.Outcome = Failed
	if re.Error.NotRun {
		rd.Outcome = Refused
	}
}

func (rd *reading) finish() Result {
	rd.TotalMs = millis(time.Since(rd.started))
	if !rd.first.IsZero() {
		rd.TTFTMs = millis(rd.first.Sub(rd.started))
	}
	if rd.got > 1 {
		rd.BetweenMs = millis(rd.last.Sub(rd.first)) / float64(rd.got-1)
	}
	return rd.Result
}

// call makes a service call. A call that may not be repeated is repeated by
// the caller with the same key while it has no certain answer.
func (ge *Generator) call(ctx context.Context, ar arrival) Result {
	started := time.Now()
	limit := time.Duration(ar.Call.TimeoutMs) * time.Millisecond
	rs := Result{Kind: "lookup"}
	if ar.Call.NonIdempotent {
		rs.Kind, rs.Key = "once", fmt.Sprintf("load-%d-%d", ge.Seed, ar.Seed)
	}
	ctx, cancel := context.WithTimeout(ctx, limit+slack)
	defer cancel()
	for try := range tries {
		left := limit - time.Since(started)
		if left <= 0 {
			break
		}
		if ge.callOnce(ctx, ar, left, try, &rs) {
			rs.TotalMs = millis(time.Since(started))
			return rs
		}
		rs.Reconnects++
		time.Sleep(pauseBetween)
	}
	rs.TotalMs = millis(time.Since(started))
	if rs.Outcome == "" {
		rs.Outcome = Broken
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rs.Outcome = Late
		}
	}
	return rs
}

// callOnce makes one try. It returns true when the answer is certain.
func (ge *Generator) callOnce(ctx context.Context, ar arrival, left time.Duration, try int, rs *Result) bool {
	method, body := http.MethodGet, ""
	if ar.Call.NonIdempotent {
		method, body = http.MethodPost, `{"visit":"`+rs.Key+`"}`
	}
	target := ge.target(ar.Target + try)
	url := "http://" + ge.Plan.Targets[target].Address + "/services/" + ar.Call.Name + ar.Call.Path
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heard := atomic.Int64{}
	heard.Store(time.Now().UnixMilli())
	go func() { _ = ge.loopWatch(ctx, cancel, target, &heard) }()
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return true
	}
	setHeaders(rq, ar, left)
	if rs.Key != "" {
		rq.Header.Set("Idempotency-Key", rs.Key)
		rq.GetBody = nil
	}
	got, err := ge.client.Do(rq)
	if err != nil {
		rs.Message = err.Error()
		rs.Outcome = ""
		return false
	}
	defer got.Body.Close()
	rs.Status = got.StatusCode
	const accepted = 300
	if got.StatusCode < accepted {
		rs.Outcome, rs.Type, rs.Message = OK, "", ""
		return true
	}
	rd := reading{}
	rd.refused(got.Body)
	rs.Type, rs.Message, rs.Outcome = rd.Type, rd.Message, rd.Outcome
	// Only the first try's refusal says that nothing has run at all.
	if rs.Outcome == Refused && try > 0 {
		rs.Outcome = Failed
	}
	return true
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// CallNonIdempotent makes the plan's first call that may not be repeated, through its
// first target, and returns the answer.
func (pl Plan) CallNonIdempotent(ctx context.Context, key string) (string, error) {
	at := slices.IndexFunc(pl.Services, func(ca Call) bool { return ca.NonIdempotent })
	if at < 0 {
		return "", errors.New("the load file has no call that may not be repeated")
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
	const most = 64 << 10
	body, err := io.ReadAll(io.LimitReader(rs.Body, most))
	if err != nil {
		return "", fmt.Errorf("read answer: %w", err)
	}
	if rs.StatusCode != http.StatusCreated {
		return "", fmt.Errorf("call: status %d: %s", rs.StatusCode, body)
	}
	return fmt.Sprintf("%s %s: %s", ca.Name, key, bytes.TrimSpace(body)), nil
}
