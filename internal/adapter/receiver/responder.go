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

// responder writes an answer to the caller, as a stream of tokens or as one body.
// It implements dispatcher.Sink.
type responder struct {
	ca           *call
	co           completionRequest
	controller   *http.ResponseController
	writeTimeout time.Duration // for one write
	created      int64         // Unix time in seconds
	buffer       bytes.Buffer
	answer       []byte // text so far, when it is not streamed
	finishReason string
	source       dispatcher.Source // of the last token
	tokens       ml.Tokens         // received from the dispatcher
}

func newResponder(ca *call, co completionRequest, writeTimeout time.Duration) *responder {
	return &responder{
		ca: ca, co: co, controller: http.NewResponseController(ca.w), writeTimeout: writeTimeout, created: ca.arrived.Unix(),
	}
}

// choice is the answer, or one token of it, in a reply.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// usage holds the token counts of a request.
type usage struct {
	Prompt     ml.Tokens     `json:"prompt_tokens"`
	Completion ml.Tokens     `json:"completion_tokens"`
	Total      ml.Tokens     `json:"total_tokens"`
	Details    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	Cached ml.Tokens `json:"cached_tokens"`
}

// reply is the body of a response, or the data of one event of a stream.
type reply struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   ml.ModelID `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usage     `json:"usage,omitempty"`
}

// WriteToken implements dispatcher.Sink.
func (rsp *responder) WriteToken(ch ml.Chunk, from dispatcher.Source) error {
	rsp.tokens++
	rsp.source = from
	rsp.finishReason = ch.Finish
	if !rsp.co.Stream {
		rsp.answer = append(rsp.answer, ch.Text...)
		return nil
	}
	rsp.startStream()
	fmt.Fprintf(&rsp.buffer, "id: %s\ndata: ", eventID(from, ch.Position))
	if err := json.NewEncoder(&rsp.buffer).Encode(rsp.newReply(rsp.chunkChoices(ch), nil)); err != nil {
		return fmt.Errorf("encode token: %w", err)
	}
	rsp.buffer.WriteByte('\n')
	return rsp.flush()
}

// startStream sends the headers of a stream, once.
func (rsp *responder) startStream() {
	if rsp.ca.responded {
		return
	}
	rsp.ca.responded = true
	rsp.ca.w.Header().Set("Content-Type", "text/event-stream")
	rsp.ca.w.Header().Set("Cache-Control", "no-store")
	rsp.ca.w.WriteHeader(http.StatusOK)
}

// flush sends the buffered bytes. It fails when the caller does not read them
// within the write timeout.
func (rsp *responder) flush() error {
	_ = rsp.controller.SetWriteDeadline(time.Now().Add(rsp.writeTimeout))
	_, err := rsp.ca.w.Write(rsp.buffer.Bytes())
	rsp.buffer.Reset()
	if err == nil {
		err = rsp.controller.Flush()
	}
	if err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// end completes the response after the last token. A stream gets the token counts,
// if the caller asked for them, and the end marker.
func (rsp *responder) end(rq *dispatcher.Request) error {
	us := &usage{
		Prompt: rq.PromptTokens, Completion: rq.Position, Total: rq.PromptTokens + rq.Position,
		Details: promptDetails{Cached: rq.CachedTokens},
	}
	if !rsp.co.Stream {
		rsp.ca.responded = true
		return writeJSON(rsp.ca.w, http.StatusOK, rsp.newReply(rsp.answerChoices(), us))
	}
	rsp.startStream()
	if rsp.co.StreamOptions != nil && rsp.co.StreamOptions.IncludeUsage {
		rsp.buffer.WriteString("data: ")
		_ = json.NewEncoder(&rsp.buffer).Encode(rsp.newReply([]choice{}, us))
		rsp.buffer.WriteByte('\n')
	}
	rsp.buffer.WriteString("data: [DONE]\n\n")
	if err := rsp.flush(); err != nil {
		return &ml.Error{Type: ml.ErrUnavailable, Step: "write to caller", Err: err}
	}
	return nil
}

// fail returns err, after sending it as the last event if the stream has begun.
func (rsp *responder) fail(err error) error {
	if !rsp.ca.responded {
		return err
	}
	rsp.buffer.WriteString("event: error\ndata: ")
	_ = json.NewEncoder(&rsp.buffer).Encode(newErrorBody(ml.AsError("serve", err)))
	rsp.buffer.WriteByte('\n')
	_ = rsp.flush()
	return err
}

func (rsp *responder) newReply(choices []choice, us *usage) reply {
	object, prefix := "text_completion", "cmpl-"
	switch {
	case rsp.co.chat && rsp.co.Stream:
		object, prefix = "chat.completion.chunk", "chatcmpl-"
	case rsp.co.chat:
		object, prefix = "chat.completion", "chatcmpl-"
	}
	return reply{
		ID: prefix + string(rsp.ca.id), Object: object, Created: rsp.created, Model: rsp.co.Model, Choices: choices, Usage: us,
	}
}

func (rsp *responder) chunkChoices(ch ml.Chunk) []choice {
	out := choice{}
	if ch.Finish != "" {
		out.Finish = &ch.Finish
	}
	if rsp.co.chat {
		out.Delta = &message{Role: "assistant", Content: ch.Text}
	} else {
		out.Text = &ch.Text
	}
	return []choice{out}
}

func (rsp *responder) answerChoices() []choice {
	text := string(rsp.answer)
	out := choice{Finish: &rsp.finishReason}
	if rsp.co.chat {
		out.Message = &message{Role: "assistant", Content: text}
	} else {
		out.Text = &text
	}
	return []choice{out}
}
