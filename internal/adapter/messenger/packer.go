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
)

const (
	// packedPlain and packedDeflated are the first byte of a packed message.
	packedPlain, packedDeflated = 0, 1
	// deflateFrom is the length in bytes from which a message is compressed.
	deflateFrom = 512
	// unpackedMost bounds a message in bytes.
	unpackedMost = 16 << 20
)

// parcel carries a packed message. The library decodes parameters into maps and
// encodes them again, which costs many times what one string does.
type parcel struct {
	Shared ml.EncodedMessage `json:"shared"`
}

// deflaters are kept, since a new one takes much memory.
var deflaters = sync.Pool{New: func() any {
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
	if len(plain) < deflateFrom {
		return append(ml.EncodedMessage{packedPlain}, plain...), nil
	}
	out := bytes.NewBuffer([]byte{packedDeflated})
	wr := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(wr)
	wr.Reset(out)
	_, err = wr.Write(plain)
	if err := errors.Join(err, wr.Close()); err != nil {
		return nil, fmt.Errorf("compress message: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack reads a packed message.
func Unpack(pa ml.EncodedMessage) (ml.ShareMessage, error) {
	sh := ml.ShareMessage{}
	if len(pa) == 0 {
		return sh, errors.New("message: empty")
	}
	plain := []byte(pa[1:])
	switch pa[0] {
	case packedPlain:
	case packedDeflated:
		var err error
		plain, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), unpackedMost))
		if err != nil {
			return sh, fmt.Errorf("message: %w", err)
		}
	default:
		return sh, fmt.Errorf("message: unknown form %d", pa[0])
	}
	if err := json.Unmarshal(plain, &sh); err != nil {
		return sh, fmt.Errorf("message: %w", err)
	}
	return sh, nil
}
