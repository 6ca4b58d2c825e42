// Package messenger carries messages between entry VMs as JSON-RPC 2.0 over
// TCP, one lasting connection to each peer.
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

// The methods between entry VMs.
const (
	methodHeartbeat = "heartbeat"
	methodReserve   = "reserve"
	methodTell      = "tell"
	methodState     = "state"
	methodShare     = "share"
	methodRecords   = "records"
)

// dialTimeout bounds the wait for a connection to a peer.
const dialTimeout = time.Second

// Messenger sends messages. It implements ml.Peers and ml.SharePeers.
type Messenger struct {
	TLS    *tls.Config // nil for plain TCP
	Source requester.SourceIP
	// DropOnTimeout gives up a connection on which a call was not answered in time,
	// since it may have gone silent.
	DropOnTimeout bool
	Log           *slog.Logger // of connections that break; nil for nothing

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one address.
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
func (me *Messenger) SendGrantEvents(ctx context.Context, address string, news []ml.GrantEvent) error {
	return me.notify(ctx, address, methodTell, news)
}

// State implements ml.Peers.
func (me *Messenger) State(ctx context.Context, address string) (ml.NodeState, error) {
	ns := ml.NodeState{}
	err := me.call(ctx, address, methodState, struct{}{}, &ns)
	return ns, err
}

// Share implements ml.SharePeers.
func (me *Messenger) Share(ctx context.Context, address string, pa ml.EncodedMessage) (ml.ShareAck, error) {
	ack := ml.ShareAck{}
	err := me.call(ctx, address, methodShare, parcel{pa}, &ack)
	return ack, err
}

// Notify implements ml.SharePeers.
func (me *Messenger) Notify(ctx context.Context, address string, pa ml.EncodedMessage) error {
	return me.notify(ctx, address, methodShare, parcel{pa})
}

// Records implements ml.SharePeers.
func (me *Messenger) Records(ctx context.Context, address string, after map[ml.TopicName]ml.Offset) ([]ml.KeyRecord, error) {
	out := []ml.KeyRecord{}
	err := me.call(ctx, address, methodRecords, after, &out)
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

// notify sends what needs no answer.
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
	pe.conn = jsonrpc2.NewConn(context.Background(), stream(nc), ignore{}, jsonrpc2.SetLogger(lineLog{me.Log}))
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

// lineLog passes what the library says of a connection on to our own log.
type lineLog struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (ll lineLog) Printf(format string, args ...any) {
	if ll.log != nil {
		ll.log.Info("peer connection", "said", strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
}

// ignore answers nothing: peers call over their own connections.
type ignore struct{}

// Handle implements jsonrpc2.Handler.
func (ignore) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func stream(nc net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{})
}

func wrap(method, address string, err error) error {
	return &ml.Error{Type: ml.ErrUnavailable, Step: method, Peer: address, Err: err}
}

// Server answers other entry VMs.
type Server struct {
	PeerHandler  ml.PeerHandler  // nil where entry VMs only share
	ShareHandler ml.ShareHandler // nil where they don't
	Log          *slog.Logger    // of connections that break; nil for nothing
}

// Serve accepts connections until the listener is closed.
func (se *Server) Serve(li net.Listener) error {
	for {
		nc, err := li.Accept()
		if err != nil {
			return fmt.Errorf("accept peers: %w", err)
		}
		jsonrpc2.NewConn(context.Background(), stream(nc), &session{handler: se.PeerHandler, sharing: se.ShareHandler}, jsonrpc2.SetLogger(lineLog{se.Log}))
	}
}

// session answers one connection. Heartbeats and news are handled in the
// order they arrive; reservations may wait and get a goroutine each.
type session struct {
	handler ml.PeerHandler
	sharing ml.ShareHandler
}

// Handle implements jsonrpc2.Handler.
func (ss *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch {
	case ss.sharing != nil && (rq.Method == methodShare || rq.Method == methodRecords):
		ss.handleSharing(ctx, conn, rq)
	case ss.handler != nil:
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
		if decode(ctx, conn, rq, &after) {
			_ = conn.Reply(ctx, rq.ID, ss.sharing.OnRecords(after))
		}
	}
}

func (ss *session) handleShare(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	pa := parcel{}
	if !decode(ctx, conn, rq, &pa) {
		return
	}
	sh, err := Unpack(pa.Shared)
	if err != nil {
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
		return
	}
	if ack := ss.sharing.OnShare(sh); !rq.Notif {
		_ = conn.Reply(ctx, rq.ID, ack)
	}
}

func (ss *session) handlePeer(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch rq.Method {
	case methodHeartbeat:
		hb := ml.Heartbeat{}
		if decode(ctx, conn, rq, &hb) {
			_ = conn.Reply(ctx, rq.ID, ss.handler.OnHeartbeat(hb))
		}
	case methodReserve:
		re := ml.Reservation{}
		if decode(ctx, conn, rq, &re) {
			go ss.runReserve(ctx, conn, rq.ID, re)
		}
	case methodTell:
		news := []ml.GrantEvent{}
		if decode(ctx, conn, rq, &news) {
			ss.handler.OnGrantEvents(news)
		}
	case methodState:
		ss.replyState(ctx, conn, rq.ID)
	default:
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: rq.Method})
	}
}

// runReserve waits for a grant. A peer that disconnects gives up its place.
func (ss *session) runReserve(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID, re ml.Reservation) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-conn.DisconnectNotify():
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = conn.Reply(ctx, id, ss.handler.OnReserve(ctx, re))
}

func (ss *session) replyState(ctx context.Context, conn *jsonrpc2.Conn, id jsonrpc2.ID) {
	ns, err := ss.handler.OnState()
	if err != nil {
		_ = conn.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, id, ns)
}

func decode(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request, out any) bool {
	err := errors.New("no parameters")
	if rq.Params != nil {
		err = json.Unmarshal(*rq.Params, out)
	}
	if err != nil && !rq.Notif {
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()})
	}
	return err == nil
}
