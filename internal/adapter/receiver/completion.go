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

// defaultMaxTokens is the length of an answer when the caller names none.
const defaultMaxTokens = 256

// completion is the body of a request for an answer. Fields of the usual API
// that are not named here are accepted and have no effect.
type completion struct {
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

func (re *Receiver) complete(vi *visit) error { return re.generate(vi, false) }

func (re *Receiver) chat(vi *visit) error { return re.generate(vi, true) }

// generate serves a prompt: read, check, dispatch, answer.
func (re *Receiver) generate(vi *visit, chat bool) error {
	body, ti, err := re.readBody(vi)
	if err != nil {
		return err
	}
	defer ti.Release()
	co, err := parseCompletion(body, chat)
	if err != nil {
		return err
	}
	rq, err := re.request(vi, co)
	if err != nil {
		return err
	}
	vi.entry.Admitted = true
	an := newAnswerer(vi, co, time.Duration(re.Settings.Limits.WriteTimeoutMs)*time.Millisecond)
	err = re.Dispatcher.Generate(callerContext(vi), rq, an)
	vi.note(rq, an)
	if err != nil {
		return an.fail(err)
	}
	return an.end(rq)
}

// note records what the dispatcher found out.
func (vi *visit) note(rq *dispatcher.Request, an *answerer) {
	en := &vi.entry
	en.Length, en.PromptTokens, en.AnswerTokens, en.Attempts, en.Endpoint = rq.Length, rq.EstimatedTokens, rq.Position, rq.Attempts, an.from.Endpoint
	if !rq.FirstTokenAt.IsZero() {
		en.TTFT = rq.FirstTokenAt.Sub(vi.arrived)
	}
	if an.tokens > 1 {
		en.MeanInterToken = rq.LastTokenAt.Sub(rq.FirstTokenAt) / time.Duration(an.tokens-1)
	}
}

func parseCompletion(body []byte, chat bool) (completion, error) {
	co := completion{chat: chat}
	if err := json.Unmarshal(body, &co); err != nil {
		return co, invalid("body", shorten(body), err.Error())
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

func (co completion) maxTokens() ml.Tokens {
	switch {
	case co.MaxCompletionTokens != nil:
		return *co.MaxCompletionTokens
	case co.MaxTokens != nil:
		return *co.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// text returns the prompt as the engine gets it.
func (co completion) text() string {
	if !co.chat {
		return *co.Prompt
	}
	sb := strings.Builder{}
	for _, me := range co.Messages {
		fmt.Fprintf(&sb, "%s: %s\n", me.Role, me.Content)
	}
	return sb.String()
}

func (re *Receiver) request(vi *visit, co completion) (*dispatcher.Request, error) {
	vi.entry.Model = co.Model
	cf := re.Keeper.View().Config
	deadline, err := re.deadline(vi, cf.DefaultTimeoutMs)
	if err != nil {
		return nil, err
	}
	rq := &dispatcher.Request{
		ID: vi.id, Team: vi.team, Model: co.Model, Prompt: co.text(), MaxTokens: co.maxTokens(),
		Sampling: co.Sampling, Deadline: deadline, Arrived: vi.arrived,
	}
	if most := cf.TeamFor(vi.team).MaxPrompt; ml.EstimateTokens(rq.Prompt) > most {
		return nil, &ml.Error{
			Type: ml.ErrTooLarge, Step: "check request", NotRun: true,
			Err: fmt.Errorf("the prompt has about %d tokens, team %q may send %d", ml.EstimateTokens(rq.Prompt), vi.team, most),
		}
	}
	if id := vi.r.Header.Get(headerLastEvent); id != "" {
		rq.Resume, rq.Position, err = parseEventID(id)
		if err != nil {
			return nil, err
		}
		if rq.Position >= rq.MaxTokens {
			return nil, invalid(headerLastEvent, id, "names a position at or after the end of the answer")
		}
	}
	return rq, nil
}

// eventID names a token: where it came from and its position.
func eventID(so dispatcher.Source, position ml.Tokens) string {
	return fmt.Sprintf("%s/%s/%d", so.Endpoint, so.Grant, position)
}

func parseEventID(id string) (dispatcher.Source, ml.Tokens, error) {
	parts := strings.Split(id, "/")
	const fields = 3
	if len(parts) != fields {
		return dispatcher.Source{}, 0, invalid(headerLastEvent, id, "want ENDPOINT/GRANT/POSITION as sent with an event")
	}
	position, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || position < 0 || parts[0] == "" || parts[1] == "" {
		return dispatcher.Source{}, 0, invalid(headerLastEvent, id, "want ENDPOINT/GRANT/POSITION as sent with an event")
	}
	return dispatcher.Source{Endpoint: ml.EndpointID(parts[0]), Grant: ml.GrantID(parts[1])}, ml.Tokens(position), nil
}

func shorten(body []byte) string {
	const most = 80
	if len(body) > most {
		return string(body[:most]) + "..."
	}
	return string(body)
}
