// Package validator rejects answers that net/http reads although they are none in HTTP.
package validator

import "fmt"

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
