package exchanger

import (
	"errors"
	"testing"
	"time"
)

// TestRequestWritten checks that a request counts as written if its writing ends
// shortly after the answer, and not if the writing continues or has failed. A
// connection is reused only after a written request.
func TestRequestWritten(t *testing.T) {
	writeDone := make(chan error, 1)
	time.AfterFunc(maxWriteWait/10, func() { writeDone <- nil })
	if !requestWritten(writeDone) {
		t.Error("a request that was written counts as not written")
	}
	if requestWritten(writeDone) {
		t.Error("a request that is being written counts as written")
	}
	writeDone <- errors.New("reset")
	if requestWritten(writeDone) {
		t.Error("a request that was not written counts as written")
	}
}
