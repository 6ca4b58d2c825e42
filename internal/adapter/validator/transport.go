package validator

import "net/http"

// Transport is an http.Transport that returns an error in place of an answer that is none. The
// zero value is ready to use.
type Transport struct{ http.Transport }

// RoundTrip implements http.RoundTripper. The error wraps a *StatusError if the answer has a
// status that is none.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rs, err := tr.Transport.RoundTrip(rq)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(rs.StatusCode); err != nil {
		rs.Body.Close()
		return nil, err
	}
	return rs, nil
}
