package streamer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	ml "github.com/mulberrylever/mulberrylever"
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// errShort means that the stream ended before its last token.
var errShort = errors.New("the stream ended early")

// event is the body of one server-sent event of a completion.
type event struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt  ml.Tokens `json:"prompt_tokens"`
		Details struct {
			Cached ml.Tokens `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// eventReader reads an engine's stream. It implements ml.Stream.
type eventReader struct {
	peer     ml.EndpointID
	in       ml.Incarnation
	body     io.ReadCloser
	lines    *bufio.Scanner
	position ml.Tokens
	finished bool
}

func newEventReader(rs *http.Response, peer ml.EndpointID, after ml.Tokens) *eventReader {
	const startBuffer = 4096
	er := &eventReader{
		peer: peer, in: ml.Incarnation(rs.Header.Get(headerIncarnation)), body: rs.Body,
		lines: bufio.NewScanner(rs.Body), position: after,
	}
	er.lines.Buffer(make([]byte, startBuffer), maxEvent)
	return er
}

// Incarnation implements ml.Stream.
func (er *eventReader) Incarnation() ml.Incarnation { return er.in }

// Close implements ml.Stream.
func (er *eventReader) Close() error { return er.body.Close() }

// Next implements ml.Stream.
func (er *eventReader) Next() (ml.Chunk, error) {
	for er.lines.Scan() {
		data, found := bytes.CutPrefix(er.lines.Bytes(), []byte("data: "))
		switch {
		case !found:
		case bytes.Equal(data, []byte("[DONE]")) && er.finished:
			er.drain()
			return ml.Chunk{}, io.EOF
		case bytes.Equal(data, []byte("[DONE]")):
			return ml.Chunk{}, er.broken(errShort)
		default:
			return er.decode(data)
		}
	}
	if err := er.lines.Err(); err != nil {
		return ml.Chunk{}, er.broken(err)
	}
	return ml.Chunk{}, er.broken(errShort)
}

// drain reads the end of the body, without which the connection is not kept
// for the next request. The answer is whole, so an error does not matter.
func (er *eventReader) drain() {
	const most = 4096
	_, _ = io.CopyN(io.Discard, er.body, most)
}

func (er *eventReader) decode(data []byte) (ml.Chunk, error) {
	ev := event{}
	if err := json.Unmarshal(data, &ev); err != nil {
		return ml.Chunk{}, er.broken(fmt.Errorf("read event: %w", err))
	}
	if len(ev.Choices) != 1 {
		return ml.Chunk{}, er.broken(fmt.Errorf("event with %d choices", len(ev.Choices)))
	}
	er.position++
	ch := ml.Chunk{Position: er.position, Text: ev.Choices[0].Text}
	if ev.Choices[0].Finish != nil {
		ch.Finish = *ev.Choices[0].Finish
		er.finished = true
	}
	if ev.Usage != nil {
		ch.PromptTokens, ch.CachedTokens = ev.Usage.Prompt, ev.Usage.Details.Cached
	}
	return ch, nil
}

func (er *eventReader) broken(err error) error {
	return &ml.Error{Type: ml.ErrEndpointFailed, Step: "read stream", Peer: string(er.peer), Err: err}
}
