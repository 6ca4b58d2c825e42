package validator

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterimAnswers bounds the interim (1xx) answers before one answer. net/http leaves that to
// those who look at them.
const maxInterimAnswers = 16

// errInterimAnswers means that a server sent more than maxInterimAnswers before an answer.
var errInterimAnswers = errors.New("too many interim answers")

// Transport is an http.Transport that returns an error in place of an answer that is none. The
// zero value is ready to use.
type Transport struct{ http.Transport }

// RoundTrip implements http.RoundTripper. The error wraps a *StatusError if the answer has a
// status that is none, and a *FieldNameError if the name of a field is malformed in its head or
// in that of an interim answer. If it is in the trailer, the end of the body returns the error.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	ic := &interimChecker{}
	ctx := httptrace.WithClientTrace(rq.Context(), &httptrace.ClientTrace{Got1xxResponse: ic.check})
	rs, err := tr.Transport.RoundTrip(rq.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(CheckStatus(rs.StatusCode), CheckFields(rs.Header)); err != nil {
		rs.Body.Close()
		return nil, err
	}
	rs.Body = &Body{rs.Body, rs}
	return rs, nil
}

// interimChecker checks the interim answers to one request.
type interimChecker struct{ answers int }

// check checks the next interim answer.
func (ic *interimChecker) check(_ int, he textproto.MIMEHeader) error {
	if ic.answers++; ic.answers > maxInterimAnswers {
		return errInterimAnswers
	}
	return CheckFields(http.Header(he))
}

// Body is the body of an answer whose trailer is checked at its end.
type Body struct {
	io.ReadCloser
	Answer *http.Response
}

// Read implements io.Reader. In place of io.EOF it returns a *FieldNameError if the name of a
// trailer field is malformed.
func (bo *Body) Read(part []byte) (int, error) {
	n, err := bo.ReadCloser.Read(part)
	if errors.Is(err, io.EOF) {
		if malformed := CheckFields(bo.Answer.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
