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
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, context.DeadlineExceeded) && me.DropOnTimeout {
		me.drop(address, conn)
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
	Log          *slog.Logger    // gets the messages of the JSON-RPC library; may be nil
}

// Serve accepts connections until the listener is closed.
func (se *Server) Serve(li net.Listener) error {
	for {
		nc, err := li.Accept()
		if err != nil {
			return fmt.Errorf("accept peer connection: %w", err)
		}
		jsonrpc2.NewConn(context.Background(), newObjectStream(nc), &session{peerHandler: se.PeerHandler, shareHandler: se.ShareHandler}, jsonrpc2.SetLogger(libraryLogger{se.Log}))
	}
}

// session handles the requests of one connection, in the order in which they
// arrive. Only reservations run concurrently, since they may wait for a grant.
type session struct {
	peerHandler  ml.PeerHandler
	shareHandler ml.ShareHandler
}

// Handle implements jsonrpc2.Handler.
func (ss *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch {
	case ss.shareHandler != nil && (rq.Method == methodShare || rq.Method == methodRecords || rq.Method == methodBareRecords):
		ss.handleSharing(ctx, conn, rq)
	case ss.peerHandler != nil:
		ss.handlePeer(ctx, conn, rq)
	default:
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: rq.Method})
	}
}

func (ss *session) handleSharing(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch rq.Method {
	case methodShare:
		ss.handleShare(ctx, conn, rq)
	case methodRecords:
		after := map[ml.TopicName]ml.Offset{}
		if decodeParams(ctx, conn, rq, &after) {
			_ = conn.Reply(ctx, rq.ID, ss.shareHandler.OnRecords(after))
		}
	case methodBareRecords:
		after := map[ml.TopicName]ml.Offset{}
		if decodeParams(ctx, conn, rq, &after) {
			_ = conn.Reply(ctx, rq.ID, append([]ml.KeyRecord{}, ss.shareHandler.OnRecords(after).Records...))
		}
	}
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
	if ack := ss.shareHandler.OnShare(sh); !rq.Notif {
		_ = conn.Reply(ctx, rq.ID, ack)
	}
}

func (ss *session) handlePeer(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch rq.Method {
	case methodHeartbeat:
		hb := ml.Heartbeat{}
		if decodeParams(ctx, conn, rq, &hb) {
			_ = conn.Reply(ctx, rq.ID, ss.peerHandler.OnHeartbeat(hb))
		}
	case methodReserve:
		re := ml.Reservation{}
		if decodeParams(ctx, conn, rq, &re) {
			go ss.handleReserve(ctx, conn, rq.ID, re)
		}
	case methodGrantEvents:
		events := []ml.GrantEvent{}
		if decodeParams(ctx, conn, rq, &events) {
			ss.peerHandler.OnGrantEvents(events)
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
	_ = conn.Reply(ctx, id, ss.peerHandler.OnReserve(ctx, re))
}

func (ss *session) handleState(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID) {
	ns, err := ss.peerHandler.OnState()
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
