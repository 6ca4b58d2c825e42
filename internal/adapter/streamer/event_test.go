package streamer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func newReader(text string) *eventReader {
	rs := &http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
	return newEventReader(rs, "e", 0)
}

// TestEvents reads each stream of the testdata to its end and prints its chunks
// and how it ended.
func TestEvents(t *testing.T) {
	datadriven.RunTest(t, "testdata/events", func(t *testing.T, td *datadriven.TestData) string {
		out, er := strings.Builder{}, newReader(strings.ReplaceAll(td.Input, `\n`, "\n")+"\n")
		for {
			ch, err := er.Next()
			if errors.Is(err, io.EOF) {
				return out.String() + "end"
			}
			if err != nil {
				return out.String() + err.Error()
			}
			fmt.Fprintf(&out, "%d %q %s prompt=%d cached=%d\n", ch.Position, ch.Text, ch.Finish, ch.PromptTokens, ch.CachedTokens)
		}
	})
}

// FuzzEvents reads arbitrary bytes as an engine's stream. The reading must
// terminate, and only a stream with a finish reason may end without an error.
func FuzzEvents(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n")
	f.Add("data: [DONE]\n")
	f.Add("id: 3\ndata: {\"choices\":[]}\n")
	f.Fuzz(func(t *testing.T, text string) {
		er := newReader(text)
		for {
			_, err := er.Next()
			if errors.Is(err, io.EOF) && !er.finished {
				t.Fatal("a stream without a finish reason ended without an error")
			}
			if err != nil {
				return
			}
		}
	})
}

// TestBytesWithoutEvent guards against an engine that sends lines that are no event and
// never stops.
func TestBytesWithoutEvent(t *testing.T) {
	const sentBytes, maxReadBytes = 32 << 20, 2 << 20
	for name, line := range map[string]string{"comments": ": x\n", "blank lines": "\n", "other fields": "retry: 1\n"} {
		t.Run(name, func(t *testing.T) {
			text := strings.NewReader(strings.Repeat(line, sentBytes/len(line)))
			er := newEventReader(&http.Response{Header: http.Header{}, Body: io.NopCloser(text)}, "e", 0)
			_, err := er.Next()
			if read := sentBytes - text.Len(); !errors.Is(err, errNoEvent) || read > maxReadBytes {
				t.Errorf("left after %d bytes with %v, want at most %d", read, err, maxReadBytes)
			}
		})
	}
}
