package mulberrylever

import (
	"context"
	"io"
	"net/http"
	"time"
)

// OutboundRequest is a request on its way to an endpoint. Header holds what the caller
// sent and concerns more than one connection.
type OutboundRequest struct {
	Method      string
	URI         string // path and query, as the caller sent them
	Host        string
	Header      http.Header
	Body        []byte
	Attempt     AttemptID
	Team        TeamID
	TimeLeft    time.Duration // until the caller gives up
	Priority    Priority
	LastEventID EventID // a stream goes on after this event; 0 for the beginning
	Helpers     []Helper
}

// Answer is an endpoint's answer. It must be closed.
type Answer struct {
	Status      int
	Header      http.Header
	Length      int64 // of the body; -1 when unknown
	Body        io.Reader
	Sealed      bool // bears the endpoint's receipt
	NotRun      bool // the endpoint states that it has not run the request
	Misdirected bool // another endpoint has the address
	Close       func()
}

// Exchanger passes requests on to endpoints unchanged.
type Exchanger interface {
	// Exchange sends a request and returns once the head of the answer has
	// come. NotRun on its *Error tells whether the endpoint may have run it.
	Exchange(ctx context.Context, ep ListedEndpoint, out *OutboundRequest) (*Answer, error)
	// ReserveMemory asks an engine to keep memory for a ticket. Repeating it renews
	// the ticket.
	ReserveMemory(ctx context.Context, ep ListedEndpoint, id HoldID, memory Tokens, term time.Duration) error
	// ReleaseMemory ends a ticket.
	ReleaseMemory(ctx context.Context, ep ListedEndpoint, id HoldID) error
}

// Responder answers a caller.
type Responder interface {
	// Begin sends the head of an answer. A length of -1 means unknown.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body at once.
	Write(part []byte) error
	// Refuse answers with a status of our own.
	Refuse(rf Refusal)
	// Abort ends the connection so that the answer does not look complete.
	Abort()
}

// Refusal is an answer of our own in place of an endpoint's.
type Refusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// KeyRecord is the newest value of a key in the platform's store.
type KeyRecord struct {
	Topic  TopicName `json:"topic"`
	Key    string    `json:"key"`
	Value  []byte    `json:"value,omitempty"` // nil for a deleted key
	Offset Offset    `json:"offset"`
}

// TopicName names a topic of the platform's store.
type TopicName string

// ShareMessage is what an entry VM tells the others: changes of what it has under
// way, and from time to time all of it.
type ShareMessage struct {
	From           VMID                  `json:"from"`
	Address        string                `json:"address"` // of the sender, for other entry VMs
	Full           bool                  `json:"whole,omitempty"`
	Flights        []SharedFlight        `json:"flights,omitempty"`
	Waiting        []SharedQueuedRequest `json:"waiting,omitempty"`
	Started        []FlightID            `json:"began,omitempty"`
	Ended          []FlightID            `json:"ended,omitempty"`   // flights, and requests that no longer wait
	Failed         []EndpointID          `json:"failed,omitempty"`  // an endpoint failed a request
	Records        []KeyRecord           `json:"records,omitempty"` // news of the platform's store
	KnownAddresses []string              `json:"known,omitempty"`   // addresses of entry VMs that the sender hears
	NextOffsets    map[TopicName]Offset  `json:"heads,omitempty"`   // how far the sender has read
	Leaving        bool                  `json:"leaving,omitempty"`
	Domain         DomainID              `json:"domain,omitempty"`
	Cores          float64               `json:"cores,omitempty"`  // of the sender
	Relay          bool                  `json:"passOn,omitempty"` // to all others; passed ones to those of the receiver's domain
	Relayed        []ShareMessage        `json:"passed,omitempty"` // messages of others, passed on
	AgeMs          int64                 `json:"ageMs,omitempty"`  // of a message that was passed on, in milliseconds
}

// SharedFlight is a flight as told to other entry VMs. Times are milliseconds
// before the message was made, since clocks differ.
type SharedFlight struct {
	ID                   FlightID   `json:"i"`
	Endpoint             EndpointID `json:"e"`
	SentAgeMs            int64      `json:"s"`
	FirstEventAgeMs      int64      `json:"b,omitempty"` // 0: the prompt is being read
	PrefillUs            int64      `json:"r"`
	DecodeMs             int64      `json:"w"`
	Memory               Tokens     `json:"m"`
	FirstEventTargetMs   int64      `json:"f"` // until the objective for the first event
	FirstEventDeadlineMs int64      `json:"u"` // until the caller waits no longer
	GapTargetMs          int64      `json:"g"`
	Value                float64    `json:"v"`
	Partial              bool       `json:"k,omitempty"`
	Helper               bool       `json:"h,omitempty"`
}

// SharedQueuedRequest is a waiting request as told to other entry VMs. Times are
// milliseconds after the message was made.
type SharedQueuedRequest struct {
	ID                   FlightID    `json:"i"`
	Service              ServiceName `json:"s"`
	Prompt               Tokens      `json:"p"`
	Answer               Tokens      `json:"a"`
	FirstEventTargetMs   int64       `json:"f"`
	FirstEventDeadlineMs int64       `json:"u"`
	GapTargetMs          int64       `json:"g"`
	Value                float64     `json:"v"`
	Rank                 int64       `json:"o"`
}

// EncodedMessage is a Shared as it goes to other entry VMs.
type EncodedMessage []byte

// SharePeers reaches other entry VMs for what they share.
type SharePeers interface {
	// Pack encodes a message once for all who are told.
	Pack(sh ShareMessage) (EncodedMessage, error)
	// Share tells a peer. The peer answers with how far it has read.
	Share(ctx context.Context, address string, pa EncodedMessage) (ShareAck, error)
	// Notify tells a peer without asking for an answer.
	Notify(ctx context.Context, address string, pa EncodedMessage) error
	// Records asks a peer for the records that it has read after the offsets.
	Records(ctx context.Context, address string, after map[TopicName]Offset) ([]KeyRecord, error)
}

// ShareAck answers what was shared.
type ShareAck struct {
	NextOffsets    map[TopicName]Offset `json:"heads,omitempty"`
	KnownAddresses []string             `json:"known,omitempty"` // addresses, when the message told some
}

// ShareHandler answers other entry VMs.
type ShareHandler interface {
	OnShare(sh ShareMessage) ShareAck
	OnRecords(after map[TopicName]Offset) []KeyRecord
}
