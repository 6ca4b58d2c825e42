package messenger_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/messenger"
)

// shareHandler replies with fixed offsets and records, and puts received messages
// into a channel while there is room.
type shareHandler struct{ received chan ml.ShareMessage }

func (sh shareHandler) OnShare(ms ml.ShareMessage) ml.ShareAck {
	select {
	case sh.received <- ms:
	default:
	}
	return ml.ShareAck{NextOffsets: map[ml.TopicName]ml.Offset{"t": 7}}
}

func (sh shareHandler) OnRecords(after map[ml.TopicName]ml.Position) ml.RecordsReply {
	return ml.RecordsReply{
		Records:     []ml.KeyRecord{{Topic: "t", Key: "k", Value: []byte("v"), Era: after["t"].Era, Offset: after["t"].Offset}},
		NextOffsets: map[ml.TopicName]ml.Offset{"t": 8},
	}
}

func serve(tb testing.TB) (string, shareHandler) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	sh := shareHandler{make(chan ml.ShareMessage, 1)}
	go func() { _ = (&messenger.Server{ShareHandler: sh}).Serve(li) }()
	tb.Cleanup(func() { _ = li.Close() })
	return li.Addr().String(), sh
}

func newMessage() ml.ShareMessage {
	return ml.ShareMessage{
		From: "vm", Address: "10.0.0.1:7340", Started: []ml.FlightID{"vm-1"}, Ended: []ml.FlightID{"vm-0"},
		Flights: []ml.SharedFlight{{ID: "vm-2", Endpoint: "e", PrefillUs: 30_000, DecodeMs: 1500, Memory: 6000, FirstEventTargetMs: 280, GapTargetMs: 250, Value: 1.5}},
	}
}

func mustPack(ms ml.ShareMessage) ml.EncodedMessage {
	em, err := (&messenger.Messenger{}).Pack(ms)
	if err != nil {
		panic(err)
	}
	return em
}

// TestShare checks that a message, its acknowledgement and requested records arrive
// unchanged, and that an unreachable peer is an error.
func TestShare(t *testing.T) {
	g := gomega.NewWithT(t)
	address, sh := serve(t)
	me := &messenger.Messenger{}
	defer me.Close()
	ack, err := me.Share(context.Background(), address, mustPack(newMessage()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ack.NextOffsets).To(gomega.HaveKeyWithValue(ml.TopicName("t"), ml.Offset(7)))
	g.Expect(<-sh.received).To(gomega.Equal(newMessage()))
	records, err := me.Records(context.Background(), address, map[ml.TopicName]ml.Position{"t": {Offset: 3}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(records).To(gomega.Equal(sh.OnRecords(map[ml.TopicName]ml.Position{"t": {Offset: 3}})))
	_, err = me.Share(context.Background(), "127.0.0.1:1", mustPack(newMessage()))
	g.Expect(err).To(gomega.HaveOccurred())
}

// scheduleHandler replies with what it was asked.
type scheduleHandler struct{ release chan struct{} }

func (sc scheduleHandler) OnSchedule(_ context.Context, rq ml.SharedPlacementRequest) ml.SharedPlacement {
	if rq.ReplyWithinMs > 0 {
		<-sc.release
	}
	return ml.SharedPlacement{Endpoints: []ml.EndpointRef{{ID: rq.Excluded[0], Incarnation: "1"}}, HelperMemory: rq.Prompt, Loss: rq.Value}
}

// confirmHandler confirms one topic.
type confirmHandler struct{}

func (confirmHandler) OnConfirm(_ context.Context, to ml.TopicName) (ml.Confirmation, error) {
	if to != "t" {
		return ml.Confirmation{}, errors.New("another topic")
	}
	return ml.Confirmation{Digest: 1<<63 + 1, AgeMs: 5}, nil
}

func (confirmHandler) OnConfirmations() map[ml.TopicName]ml.Confirmation {
	return map[ml.TopicName]ml.Confirmation{"t": {Digest: 1<<63 + 3, AgeMs: 7}, "u": {}}
}

// TestSchedule checks that requests to a scheduler arrive unchanged, that one that waits for a
// decision does not hold up others on the same connection, and that an entry VM that does not
// schedule says so.
func TestSchedule(t *testing.T) {
	g := gomega.NewWithT(t)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = li.Close() })
	handler := scheduleHandler{make(chan struct{})}
	go func() {
		_ = (&messenger.Server{ScheduleHandler: handler, ConfirmHandler: confirmHandler{}}).Serve(li)
	}()
	me := &messenger.Messenger{}
	defer me.Close()
	ctx := context.Background()
	rq := ml.SharedPlacementRequest{SharedQueuedRequest: ml.SharedQueuedRequest{ID: "vm-1", Service: "s", Prompt: 700_000, Value: 88.5}, From: "vm", Excluded: []ml.EndpointID{"e"}}
	slow := rq
	slow.ReplyWithinMs = 250
	replied := make(chan error, 1)
	go func() {
		_, err := me.Schedule(ctx, li.Addr().String(), slow)
		replied <- err
	}()
	sp, err := me.Schedule(ctx, li.Addr().String(), rq)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(sp).To(gomega.Equal(ml.SharedPlacement{Endpoints: []ml.EndpointRef{{ID: "e", Incarnation: "1"}}, HelperMemory: 700_000, Loss: 88.5}))
	g.Expect(replied).NotTo(gomega.Receive())
	close(handler.release)
	g.Eventually(replied).Should(gomega.Receive(gomega.BeNil()))

	co, err := me.Confirm(ctx, li.Addr().String(), "t")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(co).To(gomega.Equal(ml.Confirmation{Digest: 1<<63 + 1, AgeMs: 5}))
	_, err = me.Confirm(ctx, li.Addr().String(), "other")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("another topic")))

	confirmations, err := me.Confirmations(ctx, li.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(confirmations).To(gomega.Equal(confirmHandler{}.OnConfirmations()))

	address, _ := serve(t)
	_, err = me.Schedule(ctx, address, rq)
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = me.Confirmations(ctx, address)
	g.Expect(err).To(gomega.HaveOccurred())
}

// slowRecords takes its time to reply.
type slowRecords struct {
	shareHandler
	release chan struct{}
}

func (sr slowRecords) OnRecords(after map[ml.TopicName]ml.Position) ml.RecordsReply {
	<-sr.release
	return sr.shareHandler.OnRecords(after)
}

// TestRecordsForMany guards against an entry VM that is held up by many others which have
// started at once and want its records: it sends them to a few, and the others an error.
func TestRecordsForMany(t *testing.T) {
	g := gomega.NewWithT(t)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = li.Close() })
	handler := slowRecords{shareHandler{make(chan ml.ShareMessage, 1)}, make(chan struct{})}
	go func() { _ = (&messenger.Server{ShareHandler: handler}).Serve(li) }()
	const callers, served = 20, 4
	results := make(chan error, callers)
	for range callers {
		me := &messenger.Messenger{}
		t.Cleanup(me.Close)
		go func() {
			_, err := me.Records(context.Background(), li.Addr().String(), nil)
			results <- err
		}()
	}
	for range callers - served {
		g.Eventually(results).Should(gomega.Receive(gomega.HaveOccurred()))
	}
	close(handler.release)
	for range served {
		g.Eventually(results).Should(gomega.Receive(gomega.BeNil()))
	}
}

// earlierRelease handles requests like an entry VM of an earlier release.
type earlierRelease struct{}

// Handle implements jsonrpc2.Handler.
func (earlierRelease) Handle(ctx context.Context, conn *jsonrpc2.Conn, rq *jsonrpc2.Request) {
	if rq.Method != "records" {
		_ = conn.ReplyWithError(ctx, rq.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: rq.Method})
		return
	}
	_ = conn.Reply(ctx, rq.ID, []ml.KeyRecord{{Topic: "t", Key: "k", Value: []byte("v"), Offset: 3}})
}

// TestRecordsOfEarlierRelease checks that entry VMs of two releases fetch records from each
// other: the earlier ones neither send nor expect offsets with them.
func TestRecordsOfEarlierRelease(t *testing.T) {
	g := gomega.NewWithT(t)
	li, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = li.Close() })
	go func() {
		nc, err := li.Accept()
		if err == nil {
			jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{}), earlierRelease{})
		}
	}()
	me := &messenger.Messenger{}
	defer me.Close()
	from := map[ml.TopicName]ml.Position{"t": {Offset: 3}}
	reply, err := me.Records(context.Background(), li.Addr().String(), from)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply).To(gomega.Equal(ml.RecordsReply{Records: []ml.KeyRecord{{Topic: "t", Key: "k", Value: []byte("v"), Offset: 3}}}))

	address, sh := serve(t)
	nc, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	earlier := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{}), earlierRelease{})
	defer func() { _ = earlier.Close() }()
	records := []ml.KeyRecord{}
	g.Expect(earlier.Call(context.Background(), "records", map[ml.TopicName]ml.Offset{"t": 3}, &records)).To(gomega.Succeed())
	g.Expect(records).To(gomega.Equal(sh.OnRecords(map[ml.TopicName]ml.Position{"t": {Era: ml.UnknownEra, Offset: 3}}).Records))
}

// FuzzUnpack checks that arbitrary bytes of a peer don't make Unpack panic, and that
// a message stays the same when it is packed and unpacked again.
func FuzzUnpack(f *testing.F) {
	batch := newMessage()
	for range 10 {
		batch.Relayed = append(batch.Relayed, newMessage())
	}
	f.Add([]byte(mustPack(newMessage())))
	f.Add([]byte(mustPack(batch)))
	f.Add([]byte{1, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := messenger.Unpack(data)
		if err != nil {
			return
		}
		repacked, err := messenger.Unpack(mustPack(got))
		if err != nil || len(repacked.Relayed) != len(got.Relayed) || repacked.From != got.From {
			t.Fatalf("%+v became %+v, %v", got, repacked, err)
		}
	})
}

// BenchmarkShare measures one message and its acknowledgement, with both ends in
// one process.
func BenchmarkShare(b *testing.B) {
	address, _ := serve(b)
	me := &messenger.Messenger{}
	defer me.Close()
	for b.Loop() {
		if _, err := me.Share(context.Background(), address, mustPack(newMessage())); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNotify measures one message without an acknowledgement, with both ends
// in one process.
func BenchmarkNotify(b *testing.B) {
	address, _ := serve(b)
	me := &messenger.Messenger{}
	defer me.Close()
	for b.Loop() {
		if err := me.Notify(context.Background(), address, mustPack(newMessage())); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := me.Share(context.Background(), address, mustPack(newMessage())); err != nil { // returns once all messages before it were handled
		b.Fatal(err)
	}
}

// BenchmarkBatch measures a message that relays twenty others.
func BenchmarkBatch(b *testing.B) {
	address, _ := serve(b)
	me := &messenger.Messenger{}
	defer me.Close()
	batch := ml.ShareMessage{From: "vm", Address: "10.0.0.9:7340"}
	for range 20 {
		batch.Relayed = append(batch.Relayed, newMessage())
	}
	em := mustPack(batch)
	for b.Loop() {
		if err := me.Notify(context.Background(), address, em); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := me.Share(context.Background(), address, em); err != nil { // returns once all messages before it were handled
		b.Fatal(err)
	}
}
