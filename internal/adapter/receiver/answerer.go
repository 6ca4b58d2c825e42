package receiver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/duty/dispatcher"
)

// answerer writes an answer to the caller, token by token or as a whole. It
// implements dispatcher.Sink.
type answerer struct {
	vi      *visit
	co      completion
	control *http.ResponseController
	timeout time.Duration // for one write
	created int64         // seconds since 1970
	buffer  bytes.Buffer
	text    []byte // of an answer that is sent as a whole
	finish  string
	from    dispatcher.Source
	tokens  ml.Tokens
}

func newAnswerer(vi *visit, co completion, timeout time.Duration) *answerer {
	return &answerer{
		vi: vi, co: co, control: http.NewResponseController(vi.w), timeout: timeout, created: vi.arrived.Unix(),
	}
}

// choice is one answer in a body.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// usage counts tokens.
type usage struct {
	Prompt     ml.Tokens     `json:"prompt_tokens"`
	Completion ml.Tokens     `json:"completion_tokens"`
	Total      ml.Tokens     `json:"total_tokens"`
	Details    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	Cached ml.Tokens `json:"cached_tokens"`
}

// reply is the body of an answer or of one event.
type reply struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   ml.ModelID `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usage     `json:"usage,omitempty"`
}

// WriteToken implements dispatcher.Sink.
func (an *answerer) WriteToken(ch ml.Chunk, from dispatcher.Source) error {
	an.tokens++
	an.from = from
	an.finish = ch.Finish
	if !an.co.Stream {
		an.text = append(an.text, ch.Text...)
		return nil
	}
	an.start()
	fmt.Fprintf(&an.buffer, "id: %s\ndata: ", eventID(from, ch.Position))
	if err := json.NewEncoder(&an.buffer).Encode(an.reply(an.delta(ch), nil)); err != nil {
		return fmt.Errorf("encode token: %w", err)
	}
	an.buffer.WriteByte('\n')
	return an.flush()
}

// start sends the headers of a stream.
func (an *answerer) start() {
	if an.vi.started {
		return
	}
	an.vi.started = true
	an.vi.w.Header().Set("Content-Type", "text/event-stream")
	an.vi.w.Header().Set("Cache-Control", "no-store")
	an.vi.w.WriteHeader(http.StatusOK)
}

// flush sends what was buffered. A caller that takes nothing within the
// timeout is cut off.
func (an *answerer) flush() error {
	_ = an.control.SetWriteDeadline(time.Now().Add(an.timeout))
	_, err := an.vi.w.Write(an.buffer.Bytes())
	an.buffer.Reset()
	if err == nil {
		err = an.control.Flush()
	}
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// end sends what follows the last token.
func (an *answerer) end(rq *dispatcher.Request) error {
	us := &usage{
		Prompt: rq.PromptTokens, Completion: rq.Position, Total: rq.PromptTokens + rq.Position,
		Details: promptDetails{Cached: rq.CachedTokens},
	}
	if !an.co.Stream {
		an.vi.started = true
		return writeJSON(an.vi.w, http.StatusOK, an.reply(an.whole(), us))
	}
	an.start()
	if an.co.StreamOptions != nil && an.co.StreamOptions.IncludeUsage {
		an.buffer.WriteString("data: ")
		_ = json.NewEncoder(&an.buffer).Encode(an.reply([]choice{}, us))
		an.buffer.WriteByte('\n')
	}
	an.buffer.WriteString("data: [DONE]\n\n")
	if err := an.flush(); err != nil {
		return &ml.Error{Type: ml.ErrUnavailable, Step: "write to caller", Err: err}
	}
	return nil
}

// fail ends a stream that has begun with the error as its last event.
func (an *answerer) fail(err error) error {
	if !an.vi.started {
		return err
	}
	an.buffer.WriteString("event: error\ndata: ")
	_ = json.NewEncoder(&an.buffer).Encode(newErrorBody(ml.AsError("serve", err)))
	an.buffer.WriteByte('\n')
	_ = an.flush()
	return err
}

func (an *answerer) reply(choices []choice, us *usage) reply {
	object, prefix := "text_completion", "cmpl-"
	switch {
	case an.co.chat && an.co.Stream:
		object, prefix = "chat.completion.chunk", "chatcmpl-"
	case an.co.chat:
		object, prefix = "chat.completion", "chatcmpl-"
	}
	return reply{
		ID: prefix + string(an.vi.id), Object: object, Created: an.created, Model: an.co.Model, Choices: choices, Usage: us,
	}
}

func (an *answerer) delta(ch ml.Chunk) []choice {
	out := choice{}
	if ch.Finish != "" {
		out.Finish = &ch.Finish
	}
	if an.co.chat {
		out.Delta = &message{Role: "assistant", Content: ch.Text}
	} else {
		out.Text = &ch.Text
	}
	return []choice{out}
}

func (an *answerer) whole() []choice {
	text := string(an.text)
	out := choice{Finish: &an.finish}
	if an.co.chat {
		out.Message = &message{Role: "assistant", Content: text}
	} else {
		out.Text = &text
	}
	return []choice{out}
}
