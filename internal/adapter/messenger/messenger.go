// Package messenger carries messages between entry VMs as JSON-RPC 2.0 over TCP,
// with one persistent connection to each peer.
package messenger

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/requester"
)

// The JSON-RPC methods between entry VMs.
const (
	methodHeartbeat   = "heartbeat"
	methodReserve     = "reserve"
	methodGrantEvents = "tell"
	methodState       = "state"
	methodShare       = "share"
	methodRecords     = "recordsWithOffsets"
	// methodBareRecords is methodRecords in entry VMs of earlier releases. Its result is
	// the records alone.
	methodBareRecords = "records"
	methodSchedule    = "schedule"
	methodConfirm     = "confirm"
)

const dialTimeout = time.Second

// Messenger sends messages to other entry VMs. It implements ml.Peers and
// ml.SharePeers.
type Messenger struct {
	TLS    *tls.Config // nil for plain TCP
	Source requester.SourceIP
	// DropOnTimeout closes a connection on which a call has timed out, since the peer
	// may no longer receive anything on it.
	DropOnTimeout bool
	Log           *slog.Logger // gets the messages of the JSON-RPC library; may be nil

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the connection to one address.
type peer struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// Heartbeat implements ml.Peers.
func (me *Messenger) Heartbeat(ctx context.Context, address string, hb ml.Heartbeat) (ml.HeartbeatAck, error) {
	ack := ml.HeartbeatAck{}
	err := me.call(ctx, address, methodHeartbeat, hb, &ack)
	return ack, err
}

// Reserve implements ml.Peers.
func (me *Messenger) Reserve(ctx context.Context, address string, re ml.Reservation) (ml.Grant, error) {
	gr := ml.Grant{}
	err := me.call(ctx, address, methodReserve, re, &gr)
	return gr, err
}

// SendGrantEvents implements ml.Peers.
func (me *Messenger) SendGrantEvents(ctx context.Context, address string, events []ml.GrantEvent) error {
	return me.notify(ctx, address, methodGrantEvents, events)
}

// State implements ml.Peers.
func (me *Messenger) State(ctx context.Context, address string) (ml.NodeState, error) {
	ns := ml.NodeState{}
	err := me.call(ctx, address, methodState, struct{}{}, &ns)
	return ns, err
}

// Share implements ml.SharePeers.
func (me *Messenger) Share(ctx context.Context, address string, em ml.EncodedMessage) (ml.ShareAck, error) {
	ack := ml.ShareAck{}
	err := me.call(ctx, address, methodShare, shareParams{em}, &ack)
	return ack, err
}

// Notify implements ml.SharePeers.
func (me *Messenger) Notify(ctx context.Context, address string, em ml.EncodedMessage) error {
	return me.notify(ctx, address, methodShare, shareParams{em})
}

// Records implements ml.SharePeers.
func (me *Messenger) Records(ctx context.Context, address string, after map[ml.TopicName]ml.Offset) (ml.RecordsReply, error) {
	out := ml.RecordsReply{}
	err := me.call(ctx, address, methodRecords, after, &out)
	var re *jsonrpc2.Error
	if errors.As(err, &re) && re.Code == jsonrpc2.CodeMethodNotFound {
		err = me.call(ctx, address, methodBareRecords, after, &out.Records)
	}
	return out, err
}

// Schedule implements ml.SchedulerPeers.
func (me *Messenger) Schedule(ctx context.Context, address string, rq ml.SharedPlacementRequest) (ml.SharedPlacement, error) {
	sp := ml.SharedPlacement{}
	body, err := json.Marshal(rq)
	if err != nil {
		return sp, wrap(methodSchedule, address, err)
	}
	err = me.call(ctx, address, methodSchedule, shareParams{body}, &sp)
	return sp, err
}

// Confirm implements ml.ConfirmPeers.
func (me *Messenger) Confirm(ctx context.Context, address string, to ml.TopicName) (ml.Confirmation, error) {
	out := ml.Confirmation{}
	err := me.call(ctx, address, methodConfirm, to, &out)
	return out, err
}

// Close closes all connections.
func (me *Messenger) Close() {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, pe := range me.peers {
		if pe.conn != nil {
			_ = pe.conn.Close()
		}
	}
}

func (me *Messenger) call(ctx context.Context, address, method string, in, out any) error {
	conn, err := me.connect(ctx, address)
	if err != nil {
		return wrap(method, address, err)
	}
	err = conn.Call(ctx, method, in, out)
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, context.DeadlineExceeded) && me.DropOnTimeout && method != methodSchedule {
		me.drop(address, conn) // a call to a scheduler has a short time-out
	}
	if err != nil {
		return wrap(method, address, err)
	}
	return nil
}

// notify sends a notification, which gets no response.
func (me *Messenger) notify(ctx context.Context, address, method string, in any) error {
	conn, err := me.connect(ctx, address)
	if err != nil {
		return wrap(method, address, err)
	}
	if err := conn.Notify(ctx, method, in); err != nil {
		me.drop(address, conn)
		return wrap(method, address, err)
	}
	return nil
}

// connect returns the open connection to a peer, or opens one.
func (me *Messenger) connect(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	pe := me.peer(address)
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.conn != nil {
		select {
		case <-pe.conn.DisconnectNotify():
		default:
			return pe.conn, nil
		}
	}
	nc, err := me.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	// The connection outlives the call that opened it.
	pe.conn = jsonrpc2.NewConn(context.Background(), newObjectStream(nc), noHandler{}, jsonrpc2.SetLogger(libraryLogger{me.Log}))
	return pe.conn, nil
}

func (me *Messenger) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	di := me.Source.Dialer(dialTimeout)
	if me.TLS != nil {
		return (&tls.Dialer{NetDialer: di, Config: me.TLS}).DialContext(ctx, "tcp", address)
	}
	return di.DialContext(ctx, "tcp", address)
}

// drop closes a connection, unless it was replaced already.
func (me *Messenger) drop(address string, conn *jsonrpc2.Conn) {
	pe := me.peer(address)
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.conn == conn {
		_ = conn.Close()
		pe.conn = nil
	}
}

func (me *Messenger) peer(address string) *peer {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.peers == nil {
		me.peers = make(map[string]*peer)
	}
	pe := me.peers[address]
	if pe == nil {
		pe = &peer{}
		me.peers[address] = pe
	}
	return pe
}

// libraryLogger writes the messages of the JSON-RPC library to a structured log.
type libraryLogger struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (ll libraryLogger) Printf(format string, args ...any) {
	if ll.log != nil {
		ll.log.Info("message from the JSON-RPC library", "said", strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
}

// noHandler ignores requests. Peers send theirs over the connections that they open.
type noHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func newObjectStream(nc net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{})
}

func wrap(method, address string, err error) error {
	return &ml.Error{Type: ml.ErrUnavailable, Step: method, Peer: address, Err: err}
}

// Server serves the requests of other entry VMs.
type Server struct {
	PeerHandler  ml.PeerHandler  // nil to serve only the sharing methods
	ShareHandler ml.ShareHandler // nil to serve no sharing methods
	// ScheduleHandler places requests of other entry VMs; nil to place none.
	ScheduleHandler ml.ScheduleHandler
	// ConfirmHandler tells others how new what is known of the store is; nil to tell nothing.
	ConfirmHandler ml.ConfirmHandler
	Log            *slog.Logger // gets the messages of the JSON-RPC library; may be nil

	recordsReplies atomic.Int64 // under way
}

// maxRecordsReplies bounds the replies with records that are sent at the same time. When many
// entry VMs start at once, more would fill the link of this one; the store has a faster one.
const maxRecordsReplies = 4

var errBusy = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "too many replies with records under way"}

// Serve accepts connections until the listener is closed.
func (se *Server) Serve(li net.Listener) error {
	for {
		nc, err := li.Accept()
		if err != nil {
			return fmt.Errorf("accept peer connection: %w", err)
		}
		jsonrpc2.NewConn(context.Background(), newObjectStream(nc), &session{se}, jsonrpc2.SetLogger(libraryLogger{se.Log}))
	}
}

// session handles the requests of one connection, in the order in which they
// arrive. Only those that may wait for a decision run concurrently.
type session struct{ *Server }

// Handle implements jsonrpc2.Handler.
func (ss *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch {
	case ss.ShareHandler != nil && (rq.Method == methodShare || rq.Method == methodRecords || rq.Method == methodBareRecords):
		ss.handleSharing(ctx, conn, rq)
	case ss.ScheduleHandler != nil && rq.Method == methodSchedule:
		ss.handleSchedule(ctx, conn, rq)
	case ss.ConfirmHandler != nil && rq.Method == methodConfirm:
		to := ml.TopicName("")
		if decodeParams(ctx, conn, rq, &to) {
			go ss.runConfirm(ctx, conn, rq.ID, to)
		}
	case ss.PeerHandler != nil:
		ss.handlePeer(ctx, conn, rq)
	default:
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: rq.Method})
	}
}

func (ss *session) handleSharing(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch rq.Method {
	case methodShare:
		ss.handleShare(ctx, conn, rq)
	case methodRecords, methodBareRecords:
		ss.handleRecords(ctx, conn, rq)
	}
}

func (ss *session) handleRecords(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	after := map[ml.TopicName]ml.Offset{}
	if !decodeParams(ctx, conn, rq, &after) {
		return
	}
	defer ss.recordsReplies.Add(-1)
	if ss.recordsReplies.Add(1) > maxRecordsReplies {
		_ = conn.ReplyWithError(ctx, rq.ID, errBusy)
		return
	}
	reply := ss.ShareHandler.OnRecords(after)
	if rq.Method == methodBareRecords {
		_ = conn.Reply(ctx, rq.ID, append([]ml.KeyRecord{}, reply.Records...))
		return
	}
	_ = conn.Reply(ctx, rq.ID, reply)
}

func (ss *session) handleShare(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	sp := shareParams{}
	if !decodeParams(ctx, conn, rq, &sp) {
		return
	}
	sh, err := Unpack(sp.Shared)
	if err != nil {
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		return
	}
	if ack := ss.ShareHandler.OnShare(sh); !rq.Notif {
		_ = conn.Reply(ctx, rq.ID, ack)
	}
}

func (ss *session) handleSchedule(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	sp, pr := shareParams{}, ml.SharedPlacementRequest{}
	if !decodeParams(ctx, conn, rq, &sp) {
		return
	}
	if err := json.Unmarshal(sp.Shared, &pr); err != nil {
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		return
	}
	go ss.runSchedule(ctx, conn, rq.ID, pr)
}

// runSchedule waits for the decision on a request and sends it.
func (ss *session) runSchedule(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, pr ml.SharedPlacementRequest) {
	_ = conn.Reply(ctx, id, ss.ScheduleHandler.OnSchedule(ctx, pr))
}

// runConfirm waits for the confirmation of a topic and sends it.
func (ss *session) runConfirm(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, to ml.TopicName) {
	out, err := ss.ConfirmHandler.OnConfirm(ctx, to)
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, id, out)
}

func (ss *session) handlePeer(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch rq.Method {
	case methodHeartbeat:
		hb := ml.Heartbeat{}
		if decodeParams(ctx, conn, rq, &hb) {
			_ = conn.Reply(ctx, rq.ID, ss.PeerHandler.OnHeartbeat(hb))
		}
	case methodReserve:
		re := ml.Reservation{}
		if decodeParams(ctx, conn, rq, &re) {
			go ss.handleReserve(ctx, conn, rq.ID, re)
		}
	case methodGrantEvents:
		events := []ml.GrantEvent{}
		if decodeParams(ctx, conn, rq, &events) {
			ss.PeerHandler.OnGrantEvents(events)
		}
	case methodState:
		ss.handleState(ctx, conn, rq.ID)
	default:
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: rq.Method})
	}
}

// handleReserve waits for a grant and sends it. It stops waiting when the peer
// disconnects.
func (ss *session) handleReserve(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, re ml.Reservation) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-conn.DisconnectNotify():
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = conn.Reply(ctx, id, ss.PeerHandler.OnReserve(ctx, re))
}

func (ss *session) handleState(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID) {
	ns, err := ss.PeerHandler.OnState()
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, id, ns)
}

// decodeParams decodes the parameters of a request. If that fails, it sends an error
// response, except to a notification, and returns false.
func decodeParams(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request, out any) bool {
	err := errors.New("no parameters")
	if rq.Params != nil {
		err = json.Unmarshal(*rq.Params, out)
	}
	if err != nil && !rq.Notif {
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
	}
	return err == nil
}
