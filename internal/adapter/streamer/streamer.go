// Package streamer is the client of model engines. It uses the common completions
// API with server-sent events, and the engines' own paths to resume and cancel
// streams, to list and reserve memory, to read load and to send orders.
package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
)

// headerIncarnation holds an incarnation of the engine: in a request the only one
// that may run it, in a response the one that runs it.
const headerIncarnation = "X-Incarnation"

// Streamer implements ml.Engine.
type Streamer struct {
	streamClient *http.Client        // for responses that are event streams
	callClient   requester.Requester // for short JSON calls
}

// New returns a client of engines. It connects from the given source address.
func New(so requester.SourceIP) *Streamer {
	const dialTimeout, acceptTimeout = time.Second, 5 * time.Second
	const callTimeout = 2 * time.Second
	return &Streamer{
		streamClient: requester.NewClient(so, dialTimeout, acceptTimeout),
		callClient:   requester.Requester{Client: requester.NewClient(so, dialTimeout, callTimeout), Step: "call engine"},
	}
}

// Generate implements ml.Engine.
func (st *Streamer) Generate(ctx context.Context, ep ml.Endpoint, ge ml.GenerateRequest) (ml.Stream, error) {
	body, err := json.Marshal(struct {
		Model     ml.ModelID       `json:"model"`
		Prompt    string           `json:"prompt"`
		MaxTokens ml.Tokens        `json:"max_tokens"`
		Stream    bool             `json:"stream"`
		RequestID ml.GrantID       `json:"request_id"`
		Position  ml.Tokens        `json:"position,omitempty"`
		Generated string           `json:"generated,omitempty"`
		Priority  int              `json:"priority"`
		Group     []ml.GroupMember `json:"group,omitempty"`
		ml.Sampling
	}{ge.Model, ge.Prompt, ge.MaxTokens, true, ge.ID, ge.Position, ge.Generated, ge.Priority, ge.Group, ge.Sampling})
	if err != nil {
		return nil, fmt.Errorf("encode generation: %w", err)
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ep.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("generate at %q: %w", ep.ID, err)
	}
	rq.Header.Set("Content-Type", "application/json")
	if ge.Incarnation != "" {
		rq.Header.Set(headerIncarnation, string(ge.Incarnation))
	}
	return st.open(rq, ep, "generate", ge.Position)
}

// Resume implements ml.Engine.
func (st *Streamer) Resume(ctx context.Context, ep ml.Endpoint, id ml.GrantID, after ml.Tokens) (ml.Stream, error) {
	path := fmt.Sprintf("http://%s/v1/streams/%s?after=%d", ep.Address, url.PathEscape(string(id)), after)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("resume at %q: %w", ep.ID, err)
	}
	return st.open(rq, ep, "resume", after)
}

// Cancel implements ml.Engine.
func (st *Streamer) Cancel(ctx context.Context, ep ml.Endpoint, id ml.GrantID) error {
	return st.callClient.Do(ctx, http.MethodDelete, ep.Address, "/v1/streams/"+url.PathEscape(string(id)), nil, nil)
}

// Reserve implements ml.Engine.
func (st *Streamer) Reserve(ctx context.Context, ep ml.Endpoint, id ml.GrantID, tokens ml.Tokens) error {
	return st.callClient.Do(ctx, http.MethodPost, ep.Address, "/v1/holds", struct {
		ID     ml.GrantID `json:"id"`
		Kind   string     `json:"kind"`
		Tokens ml.Tokens  `json:"tokens"`
	}{id, "group", tokens}, nil)
}

// ExportKV implements ml.Engine.
func (st *Streamer) ExportKV(ctx context.Context, ep ml.Endpoint, id ml.GrantID) (ml.Hold, error) {
	ho := ml.Hold{}
	err := st.callClient.Do(ctx, http.MethodPost, ep.Address, "/v1/kv/export", struct {
		ID ml.GrantID `json:"id"`
	}{id}, &ho)
	return ho, err
}

// ImportKV implements ml.Engine.
func (st *Streamer) ImportKV(ctx context.Context, ep ml.Endpoint, ho ml.Hold) error {
	return st.callClient.Do(ctx, http.MethodPost, ep.Address, "/v1/holds", struct {
		ID     ml.GrantID `json:"id"`
		Kind   string     `json:"kind"`
		Tokens ml.Tokens  `json:"tokens"`
	}{ho.ID, "kv", ho.Tokens}, nil)
}

// CacheEvents implements ml.Engine.
func (st *Streamer) CacheEvents(ctx context.Context, ep ml.Endpoint, after int64) ([]ml.CacheEvent, error) {
	evs := []ml.CacheEvent{}
	err := st.callClient.Do(ctx, http.MethodGet, ep.Address, fmt.Sprintf("/v1/cache/events?after=%d", after), nil, &evs)
	return evs, err
}

// Report implements ml.Engine.
func (st *Streamer) Report(ctx context.Context, ep ml.Endpoint) (ml.EngineReport, error) {
	re := ml.EngineReport{}
	err := st.callClient.Do(ctx, http.MethodGet, ep.Address, "/v1/holds", nil, &re)
	return re, err
}

// Load implements ml.Engine.
func (st *Streamer) Load(ctx context.Context, ep ml.Endpoint) (ml.EngineLoad, error) {
	lo := ml.EngineLoad{}
	err := st.callClient.Do(ctx, http.MethodGet, ep.Address, "/v1/load", nil, &lo)
	return lo, err
}

// Order implements ml.Engine.
func (st *Streamer) Order(ctx context.Context, ep ml.Endpoint, or ml.Order) error {
	return st.callClient.Do(ctx, http.MethodPost, ep.Address, "/v1/orders", or, nil)
}

// open sends a request and returns its response as a stream of events.
func (st *Streamer) open(rq *http.Request, ep ml.Endpoint, step string, after ml.Tokens) (ml.Stream, error) {
	rs, err := st.streamClient.Do(rq)
	if err != nil {
		return nil, &ml.Error{
			Type: ml.ErrEndpointFailed, Step: step, Peer: string(ep.ID), NotRun: requester.IsDialError(err), Err: err,
		}
	}
	if rs.StatusCode != http.StatusOK {
		defer rs.Body.Close()
		const maxTextBytes = 512
		text := make([]byte, maxTextBytes)
		n, _ := rs.Body.Read(text)
		return nil, &ml.Error{
			Type: ml.ErrEndpointFailed, Step: step, Peer: string(ep.ID), NotRun: true,
			Err: &requester.StatusError{Status: rs.StatusCode, Text: string(bytes.TrimSpace(text[:n]))},
		}
	}
	return newEventReader(rs, ep.ID, after), nil
}
