// Package validator rejects answers that net/http reads although they are none in HTTP.
package validator

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The statuses of final answers.
const minStatus, maxStatus = 200, 599

// StatusError is an answer with a status that no final answer has.
type StatusError struct {
	Status int
}

// Error implements the error interface.
func (se *StatusError) Error() string {
	return fmt.Sprintf("%d is not the status of an answer", se.Status)
}

// CheckStatus returns a *StatusError unless a status is that of a final answer.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &StatusError{status}
	}
	return nil
}

// FieldNameError is an answer with a malformed name of a header or trailer field. What is meant by
// the field, maybe the length of the body, is unknown.
type FieldNameError struct {
	Name string
}

// Error implements the error interface.
func (fe *FieldNameError) Error() string {
	return fmt.Sprintf("%.80q is not the name of a field", fe.Name)
}

// CheckFields returns a *FieldNameError unless all names of header or trailer fields are
// well-formed. net/http accepts names with blanks, as names that nothing else looks up.
func CheckFields(he http.Header) error {
	for name := range he {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

// CheckHead is CheckFields for a head as it was received. It also rejects a line that begins with
// a blank: that is either a malformed name, or a continuation of the line before, which senders
// must not use any more.
func CheckHead(head []byte) error {
	_, fields, _ := bytes.Cut(head, []byte("\n")) // without the status line
	for line := range bytes.Lines(fields) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return nil
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if err := checkName(string(name)); err != nil {
			return err
		}
	}
	return nil
}

func checkName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return &FieldNameError{name}
	}
	return nil
}
