package invoker_test

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	ml "github.com/mulberrylever/mulberrylever"
	"github.com/mulberrylever/mulberrylever/internal/adapter/invoker"
	"github.com/mulberrylever/mulberrylever/internal/standin/garbler"
)

// call calls a service with a body of the given size. With a key the call may not be repeated.
func call(t *testing.T, address string, key ml.IdempotencyKey, bodyBytes int) (ml.ServiceAnswer, error) {
	sc := ml.ServiceCall{Method: http.MethodPost, Path: "/", Key: key, Body: make([]byte, bodyBytes)}
	return invoker.New(nil).Call(t.Context(), ml.Endpoint{ID: "e", Address: address}, sc)
}

// TestAnswerResetDuringUpload guards against a part of an answer that passes for all of it: the
// service answers a long upload at once, without a length, and resets the connection while
// the upload is still being written.
func TestAnswerResetDuringUpload(t *testing.T) {
	const uploads, uploadBytes = 20, 16 << 20
	address := (&garbler.Garbler{Answer: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\npart" }, Ending: garbler.Resets}).Start(t)
	for _, key := range []ml.IdempotencyKey{"", "key"} {
		for range uploads {
			an, err := call(t, address, key, uploadBytes)
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "%q is taken for the whole answer", an.Body)
		}
	}
}

// TestAnswerEndedDuringUpload checks that an answer without a length arrives whole if the service
// ends it in good order before it has read a long upload.
func TestAnswerEndedDuringUpload(t *testing.T) {
	const uploads, uploadBytes = 20, 16 << 20
	address := (&garbler.Garbler{Answer: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\nwhole" }, Ending: garbler.EndsAndReads}).Start(t)
	for range uploads {
		g := gomega.NewWithT(t)
		an, err := call(t, address, "", uploadBytes)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(an.Body)).To(gomega.Equal("whole"))
	}
}

// TestStatusOfNoAnswer guards against an answer of a service in trouble whose status is none.
func TestStatusOfNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099 OK", "600 OK", "101 Switching Protocols"} {
		address := (&garbler.Garbler{Answer: func(*http.Request) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok" }}).Start(t)
		an, err := call(t, address, "", 1)
		gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred(), "%d", an.Status)
	}
}
