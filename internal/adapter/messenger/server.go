package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

// Server serves the requests of other entry VMs.
type Server struct {
	PeerHandler  ml.PeerHandler  // nil to serve only the sharing methods
	ShareHandler ml.ShareHandler // nil to serve no sharing methods
	// ScheduleHandler places requests of other entry VMs; nil to place none.
	ScheduleHandler ml.ScheduleHandler
	// ConfirmHandler tells others how new what is known of the store is; nil to tell nothing.
	ConfirmHandler ml.ConfirmHandler
	Log            *slog.Logger // gets the messages of the JSON-RPC library; may be nil
	// Bytes bounds what the messages that are being received hold. Nil means no bound.
	Bytes *bounder.Bounder

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
		jsonrpc2.NewConn(context.Background(), newObjectStream(nc, se.Bytes), &session{se, remoteHost(nc)}, jsonrpc2.SetLogger(libraryLogger{se.Log}))
	}
}

// session handles the requests of one connection, in the order in which they
// arrive. Only those that may wait for a decision run concurrently.
type session struct {
	*Server
	sender string
}

// Handle implements jsonrpc2.Handler.
func (ss *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	switch {
	case ss.ShareHandler != nil && (rq.Method == methodShare || isRecordsMethod(rq.Method)):
		ss.handleSharing(ctx, conn, rq)
	case ss.ScheduleHandler != nil && rq.Method == methodSchedule:
		ss.handleSchedule(ctx, conn, rq)
	case ss.ConfirmHandler != nil && rq.Method == methodConfirm:
		to := ml.TopicName("")
		if decodeParams(ctx, conn, rq, &to) {
			go ss.runConfirm(ctx, conn, rq.ID, to)
		}
	case ss.ConfirmHandler != nil && rq.Method == methodConfirmed:
		_ = conn.Reply(ctx, rq.ID, ss.ConfirmHandler.OnConfirmations())
	case ss.PeerHandler != nil:
		ss.handlePeer(ctx, conn, rq)
	default:
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: rq.Method})
	}
}

func (ss *session) handleSharing(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	if rq.Method == methodShare {
		ss.handleShare(ctx, conn, rq)
		return
	}
	ss.handleRecords(ctx, conn, rq)
}

// isRecordsMethod reports whether a method asks for records.
func isRecordsMethod(method string) bool {
	return method == methodRecords || method == methodOffsetRecords || method == methodBareRecords
}

// decodePositions decodes the positions from which on records are asked for. Earlier releases
// send offsets alone.
func decodePositions(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) (map[ml.TopicName]ml.Position, bool) {
	from := map[ml.TopicName]ml.Position{}
	if rq.Method == methodRecords {
		return from, decodeParams(ctx, conn, rq, &from)
	}
	offsets := map[ml.TopicName]ml.Offset{}
	ok := decodeParams(ctx, conn, rq, &offsets)
	for to, offset := range offsets {
		from[to] = ml.Position{Era: ml.UnknownEra, Offset: offset}
	}
	return from, ok
}

func (ss *session) handleRecords(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	from, ok := decodePositions(ctx, conn, rq)
	if !ok {
		return
	}
	defer ss.recordsReplies.Add(-1)
	if ss.recordsReplies.Add(1) > maxRecordsReplies {
		_ = conn.ReplyWithError(ctx, rq.ID, errBusy)
		return
	}
	reply := ss.ShareHandler.OnRecords(from)
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
	me := ss.Bytes.Open(ss.sender)
	defer me.Close()
	sh, err := unpack(sp.Shared, me)
	if err != nil {
		libraryLogger{ss.Log}.Printf("message of %s: %v", ss.sender, err)
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
