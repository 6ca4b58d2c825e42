package mulberrylever

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// GenerateRequest asks an engine for an answer.
type GenerateRequest struct {
	ID        GrantID // names the stream at the engine
	Model     ModelID
	Prompt    string
	MaxTokens Tokens
	Position  Tokens // tokens already produced by an earlier attempt
	Generated string // text already produced by an earlier attempt
	Priority  int    // lower goes first
	Group     []GroupMember
	Sampling  Sampling
	// Incarnation is the life of the engine that the request is meant for; the
	// engine refuses it in any other. Empty for any.
	Incarnation Incarnation
}

// Sampling holds a caller's wishes that are handed to the engine as they are.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stop        []string `json:"stop,omitempty"`
}

// GroupMember is a further engine that holds part of a prompt which is
// larger than one engine's memory.
type GroupMember struct {
	Endpoint EndpointID `json:"endpoint"`
	Address  string     `json:"address"`
	Hold     GrantID    `json:"hold"`
	Tokens   Tokens     `json:"tokens"`
}

// Chunk is one token of an answer.
type Chunk struct {
	Position     Tokens // 1 for the first token of the answer
	Text         string
	Finish       string // reason on the last chunk, otherwise empty
	PromptTokens Tokens // engine's count, on the last chunk
	CachedTokens Tokens // prompt tokens found in the prefix cache, on the last chunk
}

// Stream delivers an answer.
type Stream interface {
	// Incarnation names the life of the engine that accepted the request.
	Incarnation() Incarnation
	// Next returns the next chunk, or io.EOF after the last one. Any other
	// error means that the answer is incomplete.
	Next() (Chunk, error)
	// Close ends the reading. It does not cancel the work at the engine.
	Close() error
}

// Hold is engine memory in use by a stream, an exported KV cache or a group.
type Hold struct {
	ID      GrantID       `json:"id"`
	Kind    string        `json:"kind"` // "stream", "kv" or "group"
	Tokens  Tokens        `json:"tokens"`
	Prefill Tokens        `json:"prefill"` // prompt tokens not yet processed
	Age     time.Duration `json:"age"`     // since the hold began
}

// CacheEvent tells that a prefix block entered or left an engine's cache.
type CacheEvent struct {
	Sequence int64     `json:"sequence"`
	Block    uint64    `json:"block"` // hash of the prompt up to the block's end
	Stored   bool      `json:"stored"`
	At       time.Time `json:"at"`
}

// EngineReport is what an engine holds, read directly and without lag.
type EngineReport struct {
	Incarnation Incarnation `json:"incarnation"`
	Holds       []Hold      `json:"holds"`
}

// EngineLoad is an engine's load report. It lags behind the truth.
type EngineLoad struct {
	Incarnation   Incarnation `json:"incarnation"`
	QueuedPrefill Tokens      `json:"queuedPrefill"`
	Running       int         `json:"running"`
	MemoryUsed    Tokens      `json:"memoryUsed"`
	PrefillRate   float64     `json:"prefillRate"` // tokens a second
	Warm          bool        `json:"warm"`
}

// Order tells an engine to change what it serves.
type Order struct {
	Fencing FencingNumber `json:"fencing"`
	Action  string        `json:"action"` // "wake", "sleep" or "load"
	Model   ModelID       `json:"model,omitempty"`
}

// Engine is a model engine, reached through its published interface.
type Engine interface {
	// Generate starts an answer and returns once the engine has accepted it.
	Generate(ctx context.Context, ep Endpoint, ge GenerateRequest) (Stream, error)
	// Resume reads the stream of an earlier Generate after a position.
	Resume(ctx context.Context, ep Endpoint, id GrantID, after Tokens) (Stream, error)
	// Cancel frees what the stream or hold has in memory. It is idempotent.
	Cancel(ctx context.Context, ep Endpoint, id GrantID) error
	// Reserve holds memory for a member of a group.
	Reserve(ctx context.Context, ep Endpoint, id GrantID, tokens Tokens) error
	// ExportKV keeps the KV cache of a stream as a hold of its own.
	ExportKV(ctx context.Context, ep Endpoint, id GrantID) (Hold, error)
	// ImportKV takes a hold that another engine has exported.
	ImportKV(ctx context.Context, ep Endpoint, ho Hold) error
	// CacheEvents returns the changes of the prefix cache after a sequence
	// number. They come late and with gaps.
	CacheEvents(ctx context.Context, ep Endpoint, after int64) ([]CacheEvent, error)
	// Report returns what the engine holds now.
	Report(ctx context.Context, ep Endpoint) (EngineReport, error)
	// Load returns the engine's load report.
	Load(ctx context.Context, ep Endpoint) (EngineLoad, error)
	// Order gives an order. Some engines refuse old fencing numbers.
	Order(ctx context.Context, ep Endpoint, or Order) error
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	ID     GrantID
	Method string
	Path   string // below the service's root, with the query
	Header http.Header
	Body   []byte
	Key    IdempotencyKey // empty for idempotent calls
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body"`
}

// Service is a plain service.
type Service interface {
	// Call makes one call and never repeats it. On an error, NotRun tells
	// whether it is certain that no byte has left.
	Call(ctx context.Context, ep Endpoint, sc ServiceCall) (ServiceAnswer, error)
}

// Record is one record of the platform's log.
type Record struct {
	Offset Offset          `json:"offset"` // assigned by the log
	ID     string          `json:"id"`     // chosen by the writer, to find it again
	Kind   string          `json:"kind"`
	Time   time.Time       `json:"time"` // assigned by the log
	Body   json.RawMessage `json:"body"`
}

// LogPage is a run of records in the order of their offsets.
type LogPage struct {
	First   Offset   `json:"first"` // oldest offset still kept
	Next    Offset   `json:"next"`  // where to read on
	End     Offset   `json:"end"`   // one past the newest offset
	Records []Record `json:"records"`
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends records in one operation and returns the first one's
	// offset. After an error the records may or may not be in the log.
	Append(ctx context.Context, recs []Record) (Offset, error)
	// Read returns records from an offset on. It waits up to wait for the
	// first one.
	Read(ctx context.Context, from Offset, wait time.Duration) (LogPage, error)
}

// VMList is the platform's list of VMs.
type VMList interface {
	// List returns the list, and whether it differs from the one returned
	// before.
	List(ctx context.Context) (vms VMs, changed bool, err error)
}
