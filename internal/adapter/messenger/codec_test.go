package messenger

import (
	"bufio"
	"bytes"
	"testing"
)

// TestMessageCutAnywhere checks that no part of a message, wherever it ends, passes for the whole.
func TestMessageCutAnywhere(t *testing.T) {
	codec, whole := boundedCodec{sender: "peer"}, bytes.Buffer{}
	message := struct{ Text string }{"some text that is longer than a length"}
	if err := codec.WriteObject(&whole, message); err != nil {
		t.Fatal(err)
	}
	for n := range whole.Len() + 1 {
		read := message
		read.Text = ""
		err := codec.ReadObject(bufio.NewReader(bytes.NewReader(whole.Bytes()[:n])), &read)
		if isWhole := n == whole.Len(); isWhole != (err == nil) || isWhole && read != message {
			t.Fatalf("%d of %d bytes are read as %+v, %v", n, whole.Len(), read, err)
		}
	}
}
