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
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

// The JSON-RPC methods between entry VMs.
const (
	methodHeartbeat   = "heartbeat"
	methodReserve     = "reserve"
	methodGrantEvents = "tell"
	methodState       = "state"
	methodShare       = "share"
	methodRecords     = "recordsFromPositions"
	// methodOffsetRecords is methodRecords in entry VMs of earlier releases, which know no eras,
	// and methodBareRecords in still earlier ones. The result of that is the records alone.
	methodOffsetRecords = "recordsWithOffsets"
	methodBareRecords   = "records"
	methodSchedule      = "schedule"
	methodConfirm       = "confirm"
	methodConfirmed     = "confirmations"
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
	// Bytes bounds what the messages that are being received hold. Nil means no bound.
	Bytes *bounder.Bounder

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
func (me *Messenger) Records(ctx context.Context, address string, from map[ml.TopicName]ml.Position) (ml.RecordsReply, error) {
	out := ml.RecordsReply{}
	err := me.call(ctx, address, methodRecords, from, &out)
	if !isMethodUnknown(err) {
		return out, err
	}
	offsets := make(map[ml.TopicName]ml.Offset, len(from))
	for to, po := range from {
		offsets[to] = po.Offset
	}
	err = me.call(ctx, address, methodOffsetRecords, offsets, &out)
	if isMethodUnknown(err) {
		err = me.call(ctx, address, methodBareRecords, offsets, &out.Records)
	}
	return out, err
}

// isMethodUnknown reports whether a call failed since the other entry VM is of an earlier release.
func isMethodUnknown(err error) bool {
	var re *jsonrpc2.Error
	return errors.As(err, &re) && re.Code == jsonrpc2.CodeMethodNotFound
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

// Confirmations implements ml.ConfirmPeers.
func (me *Messenger) Confirmations(ctx context.Context, address string) (map[ml.TopicName]ml.Confirmation, error) {
	out := map[ml.TopicName]ml.Confirmation{}
	err := me.call(ctx, address, methodConfirmed, struct{}{}, &out)
	return out, err
}

// Close closes all connections.
func (me *Messenger) Close() {
	me.mu.Lock()
	defer me.mu.Unlock()
	for _, pe := range me.peers {
		pe.close()
	}
}

// close closes the connection to an address, if it is open.
func (pe *peer) close() {
	pe.mu.Lock()
	defer pe.mu.Unlock()
	if pe.conn != nil {
		_ = pe.conn.Close()
	}
}

func (me *Messenger) call(ctx context.Context, address, method string, in, out any) error {
	conn, err := me.connect(ctx, address)
	if err != nil {
		return wrap(method, address, err)
	}
	err = conn.Call(ctx, method, in, out)
	hasShortTimeout := method == methodSchedule || method == methodConfirmed // the peer may only be busy
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, context.DeadlineExceeded) && me.DropOnTimeout && !hasShortTimeout {
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
	pe.conn = jsonrpc2.NewConn(context.Background(), newObjectStream(nc, me.Bytes), noHandler{}, jsonrpc2.SetLogger(libraryLogger{me.Log}))
	return pe.conn, nil
}

func (me *Messenger) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	di := me.Source.Dialer(dialTimeout)
	if me.TLS != nil {
		return (&tls.Dialer{NetDialer: &di.Dialer, Config: me.TLS}).DialContext(ctx, "tcp", address)
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

func wrap(method, address string, err error) error {
	return &ml.Error{Type: ml.ErrUnavailable, Step: method, Peer: address, Err: err}
}
