package receiver

import (
	"strings"
	"testing"
)

// FuzzCompletion feeds callers' bytes to the reader of bodies: what it accepts
// has a prompt and a limit.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":""}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":null,"n":1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		co, err := parseCompletion(body, chat)
		if err == nil && (co.Model == "" || co.text() == "" || co.maxTokens() <= 0) {
			t.Fatalf("accepted %q", body)
		}
	})
}

// FuzzEventID checks that an id that is accepted is written the same way.
func FuzzEventID(f *testing.F) {
	f.Add("e/g.1.0/17")
	f.Add("//-1")
	f.Fuzz(func(t *testing.T, id string) {
		so, position, err := parseEventID(id)
		if err != nil {
			return
		}
		back, again, err := parseEventID(eventID(so, position))
		if err != nil || back != so || again != position || strings.Contains(string(so.Grant), "/") {
			t.Fatalf("%q became %v, %d", id, back, again)
		}
	})
}
