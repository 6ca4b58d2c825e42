// Package bounder bounds the memory that messages hold together while they are read and until they
// have been passed on. A bound for one message is none for their sum: a faulty sender has many
// connections.
package bounder

import (
	"errors"
	"io"
	"sync"
)

// ErrFull means that a message would hold more than the others leave.
var ErrFull = errors.New("messages hold too much memory")

// senderDivisor limits the messages of one sender to MaxBytes/senderDivisor, so that the others can
// still send long ones.
const senderDivisor = 2

// Bounder counts the bytes that messages hold. The zero value has no bound. It is safe for concurrent
// use.
type Bounder struct {
	MaxBytes int64 // of all messages; 0 for no bound
	// FreeBytes of each message are not counted, so that a short one is never refused. Their sum is
	// bounded by the number of connections.
	FreeBytes int64

	mu      sync.Mutex
	bytes   int64
	senders map[string]int64
}

// Message is what one message holds. It is not safe for concurrent use. A nil message has no bound.
type Message struct {
	bo     *Bounder
	sender string
	bytes  int64 // that it holds, with those that are free
	taken  int64 // of these, the bytes that are counted
}

// Open returns a message of a sender that holds nothing yet. It must be closed.
func (bo *Bounder) Open(sender string) *Message {
	if bo == nil || bo.MaxBytes <= 0 {
		return nil
	}
	return &Message{bo: bo, sender: sender}
}

// Bytes returns the bytes that are counted.
func (bo *Bounder) Bytes() int64 {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	return bo.bytes
}

// take counts more bytes of a sender, or reports false if that is too much.
func (bo *Bounder) take(sender string, n int64) bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	if n > 0 && (bo.bytes+n > bo.MaxBytes || bo.senders[sender]+n > bo.MaxBytes/senderDivisor) {
		return false
	}
	if bo.senders == nil {
		bo.senders = make(map[string]int64)
	}
	bo.bytes += n
	bo.senders[sender] += n
	if bo.senders[sender] == 0 {
		delete(bo.senders, sender)
	}
	return true
}

// Grow makes the message hold n bytes more. It returns ErrFull if that is too much.
func (me *Message) Grow(n int) error {
	if me == nil {
		return nil
	}
	counted := max(me.bytes+int64(n)-me.bo.FreeBytes, 0)
	if counted > me.taken {
		if !me.bo.take(me.sender, counted-me.taken) {
			return ErrFull
		}
		me.taken = counted
	}
	me.bytes += int64(n)
	return nil
}

// Reset makes the message hold nothing, since all that it held was passed on.
func (me *Message) Reset() {
	if me == nil {
		return
	}
	if me.taken > 0 {
		me.bo.take(me.sender, -me.taken)
	}
	me.bytes, me.taken = 0, 0
}

// Close ends the message. It may be called more than once.
func (me *Message) Close() { me.Reset() }

const (
	// firstBufferBytes is the size of the buffer in which ReadAll begins, and growthDivisor the part
	// of it by which it grows.
	firstBufferBytes, growthDivisor = 2 << 10, 2
)

// Grower is what is asked before a buffer grows by n bytes.
type Grower interface {
	Grow(n int) error
}

// ReadAll reads up to maxBytes, which the message then holds. On an error, ErrFull among them, it
// returns what was read before.
func ReadAll(rd io.Reader, me Grower, maxBytes int) ([]byte, error) {
	data := []byte{}
	for len(data) < maxBytes {
		if len(data) == cap(data) {
			grown, err := grow(data, me, maxBytes)
			if err != nil {
				return data, err
			}
			data = grown
		}
		n, err := rd.Read(data[len(data):min(cap(data), maxBytes)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// grow returns a copy of data with a larger capacity.
func grow(data []byte, me Grower, maxBytes int) ([]byte, error) {
	more := min(max(cap(data)/growthDivisor, firstBufferBytes), maxBytes-len(data))
	if err := me.Grow(more); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, cap(data)+more), data...), nil
}
