package messenger

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

const (
	// formatPlain and formatDeflated are the values of a packed message's first byte.
	formatPlain, formatDeflated = 0, 1
	// minDeflateBytes is the length from which a message is compressed.
	minDeflateBytes = 512
	// maxUnpackedBytes bounds a decompressed message.
	maxUnpackedBytes = 16 << 20
)

// shareParams holds a packed message as a single string. The JSON-RPC library
// decodes parameters into maps and encodes them again, which costs many times more
// for a structured message than for one string.
type shareParams struct {
	Shared ml.EncodedMessage `json:"shared"`
}

// deflateWriters are pooled, since each new one allocates much memory.
var deflateWriters = sync.Pool{New: func() any {
	wr, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return wr
}}

// Pack implements ml.SharePeers.
func (me *Messenger) Pack(sh ml.ShareMessage) (ml.EncodedMessage, error) {
	plain, err := json.Marshal(sh)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(plain) < minDeflateBytes {
		return append(ml.EncodedMessage{formatPlain}, plain...), nil
	}
	out := bytes.NewBuffer([]byte{formatDeflated})
	wr := deflateWriters.Get().(*flate.Writer)
	defer deflateWriters.Put(wr)
	wr.Reset(out)
	_, err = wr.Write(plain)
	if err := errors.Join(err, wr.Close()); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack decodes a packed message.
func Unpack(em ml.EncodedMessage) (ml.ShareMessage, error) { return unpack(em, nil) }

// unpack is Unpack with a bound on what the message holds.
func unpack(em ml.EncodedMessage, me *bounder.Message) (ml.ShareMessage, error) {
	sh := ml.ShareMessage{}
	if len(em) == 0 {
		return sh, errors.New("message: empty")
	}
	plain := []byte(em[1:])
	switch em[0] {
	case formatPlain:
	case formatDeflated:
		var err error
		plain, err = bounder.ReadAll(flate.NewReader(bytes.NewReader(plain)), me, maxUnpackedBytes)
		if err != nil {
			return sh, fmt.Errorf("message: %w", err)
		}
	default:
		return sh, fmt.Errorf("message: unknown form %d", em[0])
	}
	if err := me.Grow(decodingCopies * len(plain)); err != nil {
		return sh, fmt.Errorf("message: %w", err)
	}
	if err := json.Unmarshal(plain, &sh); err != nil {
		return sh, fmt.Errorf("message: %w", err)
	}
	return sh, nil
}
