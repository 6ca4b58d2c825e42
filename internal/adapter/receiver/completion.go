package receiver

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/dispatcher"
)

// defaultMaxTokens bounds the answer when the request sets no maximum.
const defaultMaxTokens = 256

// completionRequest is the body of a completion request. Other fields of the
// common API are accepted and ignored.
type completionRequest struct {
	Model               ml.ModelID     `json:"model"`
	Prompt              *string        `json:"prompt"`
	Messages            []message      `json:"messages"`
	MaxTokens           *ml.Tokens     `json:"max_tokens"`
	MaxCompletionTokens *ml.Tokens     `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	N                   *int           `json:"n"`
	ml.Sampling

	chat bool
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (re *Receiver) complete(ca *call) error { return re.generate(ca, false) }

func (re *Receiver) chat(ca *call) error { return re.generate(ca, true) }

// generate serves a completion request: it reads and checks the body, dispatches
// the request and writes the answer.
func (re *Receiver) generate(ca *call, chat bool) error {
	body, ti, err := re.readBody(ca)
	if err != nil {
		return err
	}
	defer ti.Release()
	co, err := parseCompletion(body, chat)
	if err != nil {
		return err
	}
	rq, err := re.newRequest(ca, co)
	if err != nil {
		return err
	}
	ca.record.Admitted = true
	rsp := newResponder(ca, co, time.Duration(re.Settings.Limits.WriteTimeoutMs)*time.Millisecond)
	err = re.Dispatcher.Generate(callerContext(ca), rq, rsp)
	ca.recordResult(rq, rsp)
	if err != nil {
		return rsp.fail(err)
	}
	return rsp.end(rq)
}

// recordResult adds the results of the dispatcher to the call's record.
func (ca *call) recordResult(rq *dispatcher.Request, rsp *responder) {
	cr := &ca.record
	cr.Length, cr.PromptTokens, cr.AnswerTokens, cr.Attempts, cr.Endpoint = rq.Length, rq.EstimatedTokens, rq.Position, rq.Attempts, rsp.source.Endpoint
	if !rq.FirstTokenAt.IsZero() {
		cr.TTFT = rq.FirstTokenAt.Sub(ca.arrived)
	}
	if rsp.tokens > 1 {
		cr.MeanInterToken = rq.LastTokenAt.Sub(rq.FirstTokenAt) / time.Duration(rsp.tokens-1)
	}
}

func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	co := completionRequest{chat: chat}
	if err := json.Unmarshal(body, &co); err != nil {
		return co, invalid("body", truncate(body), err.Error())
	}
	switch {
	case co.Model == "":
		return co, invalid("model", "", "must not be empty")
	case chat && len(co.Messages) == 0:
		return co, invalid("messages", "[]", "must not be empty")
	case !chat && (co.Prompt == nil || *co.Prompt == ""):
		return co, invalid("prompt", "", "must be a text that is not empty")
	case co.N != nil && *co.N != 1:
		return co, invalid("n", strconv.Itoa(*co.N), "only one answer per request is served")
	case co.maxTokens() <= 0:
		return co, invalid("max_tokens", strconv.FormatInt(int64(co.maxTokens()), 10), "must be more than 0")
	}
	return co, nil
}

func (co completionRequest) maxTokens() ml.Tokens {
	switch {
	case co.MaxCompletionTokens != nil:
		return *co.MaxCompletionTokens
	case co.MaxTokens != nil:
		return *co.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// promptText returns the prompt as it is sent to the engine.
func (co completionRequest) promptText() string {
	if !co.chat {
		return *co.Prompt
	}
	sb := strings.Builder{}
	for _, me := range co.Messages {
		fmt.Fprintf(&sb, "%s: %s\n", me.Role, me.Content)
	}
	return sb.String()
}

func (re *Receiver) newRequest(ca *call, co completionRequest) (*dispatcher.Request, error) {
	ca.record.Model = co.Model
	cf := re.Keeper.View().Config
	deadline, err := re.deadline(ca, cf.DefaultTimeoutMs)
	if err != nil {
		return nil, err
	}
	rq := &dispatcher.Request{
		ID: ca.id, Team: ca.team, Model: co.Model, Prompt: co.promptText(), MaxTokens: co.maxTokens(),
		Sampling: co.Sampling, Deadline: deadline, Arrived: ca.arrived,
	}
	if maxPrompt := cf.TeamFor(ca.team).MaxPrompt; ml.EstimateTokens(rq.Prompt) > maxPrompt {
		return nil, &ml.Error{
			Type: ml.ErrTooLarge, Step: "check request", NotRun: true,
			Err: fmt.Errorf("the prompt has about %d tokens, team %q may send %d", ml.EstimateTokens(rq.Prompt), ca.team, maxPrompt),
		}
	}
	if id := ca.r.Header.Get(headerLastEventID); id != "" {
		rq.Resume, rq.Position, err = parseEventID(id)
		if err != nil {
			return nil, err
		}
		if rq.Position >= rq.MaxTokens {
			return nil, invalid(headerLastEventID, id, "names a position at or after the end of the answer")
		}
	}
	return rq, nil
}

// eventID returns the id of a token's event: the token's source and position.
func eventID(so dispatcher.Source, position ml.Tokens) string {
	return fmt.Sprintf("%s/%s/%d", so.Endpoint, so.Grant, position)
}

func parseEventID(id string) (dispatcher.Source, ml.Tokens, error) {
	parts := strings.Split(id, "/")
	const numParts = 3
	if len(parts) != numParts {
		return dispatcher.Source{}, 0, invalid(headerLastEventID, id, "want ENDPOINT/GRANT/POSITION as sent with an event")
	}
	position, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || position < 0 || parts[0] == "" || parts[1] == "" {
		return dispatcher.Source{}, 0, invalid(headerLastEventID, id, "want ENDPOINT/GRANT/POSITION as sent with an event")
	}
	return dispatcher.Source{Endpoint: ml.EndpointID(parts[0]), Grant: ml.GrantID(parts[1])}, ml.Tokens(position), nil
}

// truncate cuts a body for an error message.
func truncate(body []byte) string {
	const maxBytes = 80
	if len(body) > maxBytes {
		return string(body[:maxBytes]) + "..."
	}
	return string(body)
}
