package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/mulberrylever/mulberrylever/internal/state/bounder"
)

const (
	// maxMessageBytes bounds one message on the wire.
	maxMessageBytes = 8 << 20
	// decodingCopies is how often the bytes of a message are in memory while it is decoded, beside
	// those that were received.
	decodingCopies = 2
)

// boundedCodec is jsonrpc2.VarintObjectCodec for peers that may send bytes without end.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	bytes  *bounder.Bounder
	sender string
}

// ReadObject implements jsonrpc2.ObjectCodec. After an error the library closes the connection.
func (bc boundedCodec) ReadObject(stream *bufio.Reader, out any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return fmt.Errorf("message of %d bytes from %s: longer than %d", size, bc.sender, maxMessageBytes)
	}
	me := bc.bytes.Open(bc.sender)
	defer me.Close()
	data, err := bounder.ReadAll(io.LimitReader(stream, int64(size)), me, int(size))
	if err == nil {
		err = me.Grow(decodingCopies * len(data))
	}
	if err != nil {
		return fmt.Errorf("message of %d bytes from %s: %w", size, bc.sender, err)
	}
	return json.Unmarshal(data, out)
}

// newObjectStream returns the stream of messages on a connection.
func newObjectStream(nc net.Conn, bytes *bounder.Bounder) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(nc, boundedCodec{bytes: bytes, sender: remoteHost(nc)})
}

// remoteHost returns the host at the other end of a connection.
func remoteHost(nc net.Conn) string {
	text := nc.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(text); err == nil {
		return host
	}
	return text
}
