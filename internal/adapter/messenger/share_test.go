package messenger_test

import (
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/messenger"
)

// sharing answers with how far it has read, and keeps the last message.
type sharing struct{ got chan ml.ShareMessage }

func (sh sharing) OnShare(ms ml.ShareMessage) ml.ShareAck {
	select {
	case sh.got <- ms:
	default:
	}
	return ml.ShareAck{NextOffsets: map[ml.TopicName]ml.Offset{"t": 7}}
}

func (sh sharing) OnRecords(after map[ml.TopicName]ml.Offset) []ml.KeyRecord {
	return []ml.KeyRecord{{Topic: "t", Key: "k", Value: []byte("v"), Offset: after["t"]}}
}

func serve(tb testing.TB) (string, sharing) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	sh := sharing{make(chan ml.ShareMessage, 1)}
	go func() { _ = (&messenger.Server{ShareHandler: sh}).Serve(li) }()
	tb.Cleanup(func() { _ = li.Close() })
	return li.Addr().String(), sh
}

func message() ml.ShareMessage {
	return ml.ShareMessage{
		From: "vm", Address: "10.0.0.1:7340", Started: []ml.FlightID{"vm-1"}, Ended: []ml.FlightID{"vm-0"},
		Flights: []ml.SharedFlight{{ID: "vm-2", Endpoint: "e", PrefillUs: 30_000, DecodeMs: 1500, Memory: 6000, FirstEventTargetMs: 280, GapTargetMs: 250, Value: 1.5}},
	}
}

func packed(ms ml.ShareMessage) ml.EncodedMessage {
	pa, err := (&messenger.Messenger{}).Pack(ms)
	if err != nil {
		panic(err)
	}
	return pa
}

// TestShare checks that what is shared arrives whole, and its answers too.
func TestShare(t *testing.T) {
	g := gomega.NewWithT(t)
	address, sh := serve(t)
	me := &messenger.Messenger{}
	defer me.Close()
	ack, err := me.Share(context.Background(), address, packed(message()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(ack.NextOffsets).To(gomega.HaveKeyWithValue(ml.TopicName("t"), ml.Offset(7)))
	g.Expect(<-sh.got).To(gomega.Equal(message()))
	records, err := me.Records(context.Background(), address, map[ml.TopicName]ml.Offset{"t": 3})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(records).To(gomega.Equal([]ml.KeyRecord{{Topic: "t", Key: "k", Value: []byte("v"), Offset: 3}}))
	_, err = me.Share(context.Background(), "127.0.0.1:1", packed(message()))
	g.Expect(err).To(gomega.HaveOccurred())
}

// FuzzUnpack checks that whatever a peer sends is read without harm, and that
// what was packed is what is unpacked.
func FuzzUnpack(f *testing.F) {
	long := message()
	for range 10 {
		long.Relayed = append(long.Relayed, message())
	}
	f.Add([]byte(packed(message())))
	f.Add([]byte(packed(long)))
	f.Add([]byte{1, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := messenger.Unpack(data)
		if err != nil {
			return
		}
		again, err := messenger.Unpack(packed(got))
		if err != nil || len(again.Relayed) != len(got.Relayed) || again.From != got.From {
			t.Fatalf("%+v became %+v, %v", got, again, err)
		}
	})
}

// BenchmarkShare measures one message and its answer, both ends in one process.
func BenchmarkShare(b *testing.B) {
	address, _ := serve(b)
	me := &messenger.Messenger{}
	defer me.Close()
	for b.Loop() {
		if _, err := me.Share(context.Background(), address, packed(message())); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNotify measures one message without an answer, both ends in one
// process.
func BenchmarkNotify(b *testing.B) {
	address, _ := serve(b)
	me := &messenger.Messenger{}
	defer me.Close()
	for b.Loop() {
		if err := me.Notify(context.Background(), address, packed(message())); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := me.Share(context.Background(), address, packed(message())); err != nil { // all have been read
		b.Fatal(err)
	}
}

// BenchmarkBatch measures a message that passes on twenty others.
func BenchmarkBatch(b *testing.B) {
	address, _ := serve(b)
	me := &messenger.Messenger{}
	defer me.Close()
	batch := ml.ShareMessage{From: "vm", Address: "10.0.0.9:7340"}
	for range 20 {
		batch.Relayed = append(batch.Relayed, message())
	}
	pa := packed(batch)
	for b.Loop() {
		if err := me.Notify(context.Background(), address, pa); err != nil {
			b.Fatal(err)
		}
	}
	if _, err := me.Share(context.Background(), address, pa); err != nil { // all have been read
		b.Fatal(err)
	}
}
