package receiver

import (
	"strings"
	"testing"
)

// FuzzCompletion parses arbitrary bytes as a request body. A body that is accepted
// must have a model, a prompt and a token limit.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":""}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":null,"n":1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		co, err := parseCompletion(body, chat)
		if err == nil && (co.Model == "" || co.promptText() == "" || co.maxTokens() <= 0) {
			t.Fatalf("accepted %q", body)
		}
	})
}

// FuzzEventID checks that an event id that is accepted stays the same when it is
// formatted and parsed again.
func FuzzEventID(f *testing.F) {
	f.Add("e/g.1.0/17")
	f.Add("//-1")
	f.Fuzz(func(t *testing.T, id string) {
		so, position, err := parseEventID(id)
		if err != nil {
			return
		}
		gotSource, gotPosition, err := parseEventID(eventID(so, position))
		if err != nil || gotSource != so || gotPosition != position || strings.Contains(string(so.Grant), "/") {
			t.Fatalf("%q became %v, %d", id, gotSource, gotPosition)
		}
	})
}
