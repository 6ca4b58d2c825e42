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

func read(text string) *eventReader {
	rs := &http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text))}
	return newEventReader(rs, "e", 0)
}

// TestEvents reads the streams of a script to their ends.
func TestEvents(t *testing.T) {
	datadriven.RunTest(t, "testdata/events", func(t *testing.T, td *datadriven.TestData) string {
		out, er := strings.Builder{}, read(strings.ReplaceAll(td.Input, `\n`, "\n")+"\n")
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

// FuzzEvents feeds bytes of an engine to the reader: it must end, and only a
// stream that finished may end well.
func FuzzEvents(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n")
	f.Add("data: [DONE]\n")
	f.Add("id: 3\ndata: {\"choices\":[]}\n")
	f.Fuzz(func(t *testing.T, text string) {
		er := read(text)
		for {
			_, err := er.Next()
			if errors.Is(err, io.EOF) && !er.finished {
				t.Fatal("a stream without a last token ended well")
			}
			if err != nil {
				return
			}
		}
	})
}
