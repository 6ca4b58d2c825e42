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

// maxLineBytes bounds one line of an event stream. An event has one data line.
const maxLineBytes = 1 << 20

// maxIdleBytes bounds what an engine may send between two events.
const maxIdleBytes = 1 << 20

// errNoEvent means that an engine sent bytes that are no event and did not stop.
var errNoEvent = errors.New("bytes without an event")

// errTruncated means that the stream ended before the token with a finish reason.
var errTruncated = errors.New("the stream ended early")

// event is the data of one server-sent event of a completion.
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

// eventReader reads the event stream of an engine. It implements ml.Stream.
type eventReader struct {
	endpoint    ml.EndpointID
	incarnation ml.Incarnation
	body        io.ReadCloser
	scanner     *bufio.Scanner // of the body's lines
	position    ml.Tokens      // of the last token read
	finished    bool           // the last token has been read
}

func newEventReader(rs *http.Response, endpoint ml.EndpointID, after ml.Tokens) *eventReader {
	const initialBufferBytes = 4096
	er := &eventReader{
		endpoint: endpoint, incarnation: ml.Incarnation(rs.Header.Get(headerIncarnation)), body: rs.Body,
		scanner: bufio.NewScanner(rs.Body), position: after,
	}
	er.scanner.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	return er
}

// Incarnation implements ml.Stream.
func (er *eventReader) Incarnation() ml.Incarnation { return er.incarnation }

// Close implements ml.Stream.
func (er *eventReader) Close() error { return er.body.Close() }

// Next implements ml.Stream.
func (er *eventReader) Next() (ml.Chunk, error) {
	idleBytes := 0
	for er.scanner.Scan() {
		line := er.scanner.Bytes()
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			idleBytes += len(line) + 1
		}
		switch {
		case idleBytes > maxIdleBytes:
			return ml.Chunk{}, er.wrap(errNoEvent)
		case !found:
		case bytes.Equal(data, []byte("[DONE]")) && er.finished:
			er.drain()
			return ml.Chunk{}, io.EOF
		case bytes.Equal(data, []byte("[DONE]")):
			return ml.Chunk{}, er.wrap(errTruncated)
		default:
			return er.decode(data)
		}
	}
	if err := er.scanner.Err(); err != nil {
		return ml.Chunk{}, er.wrap(err)
	}
	return ml.Chunk{}, er.wrap(errTruncated)
}

// drain reads the body to its end, since net/http only reuses a connection whose
// last body was read completely. The answer is complete, so errors are ignored.
func (er *eventReader) drain() {
	const maxDrainBytes = 4096
	_, _ = io.CopyN(io.Discard, er.body, maxDrainBytes)
}

func (er *eventReader) decode(data []byte) (ml.Chunk, error) {
	ev := event{}
	if err := json.Unmarshal(data, &ev); err != nil {
		return ml.Chunk{}, er.wrap(fmt.Errorf("read event: %w", err))
	}
	if len(ev.Choices) != 1 {
		return ml.Chunk{}, er.wrap(fmt.Errorf("event with %d choices", len(ev.Choices)))
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

func (er *eventReader) wrap(err error) error {
	return &ml.Error{Type: ml.ErrEndpointFailed, Step: "read stream", Peer: string(er.endpoint), Err: err}
}
