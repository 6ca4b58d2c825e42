package exchanger

import (
	"errors"
	"testing"
	"time"
)

// TestSent checks that a connection is kept when the answer comes a moment
// before the writing of the request is seen to have ended, and not when it goes
// on or has failed.
func TestSent(t *testing.T) {
	wrote := make(chan error, 1)
	time.AfterFunc(writeGrace/10, func() { wrote <- nil })
	if !sent(wrote) {
		t.Error("a request that was written counts as not written")
	}
	if sent(wrote) {
		t.Error("a request that is being written counts as written")
	}
	wrote <- errors.New("reset")
	if sent(wrote) {
		t.Error("a request that was not written counts as written")
	}
}
