package mulberrylever

import (
	"errors"
	"fmt"
	"time"
)

// ErrorType classifies errors that reach a caller. The values are part of the
// API.
type ErrorType string

// The error types.
const (
	ErrInvalidRequest   ErrorType = "invalidRequest"   // malformed request or invalid parameter
	ErrUnauthorized     ErrorType = "unauthorized"     // the access key is missing or unknown
	ErrNotFound         ErrorType = "notFound"         // no such model, service or path
	ErrTooLarge         ErrorType = "tooLarge"         // exceeds the capacity of every endpoint
	ErrOverloaded       ErrorType = "overloaded"       // rejected because of load: over a limit, or would miss its deadline
	ErrUnavailable      ErrorType = "unavailable"      // no endpoint can serve it now
	ErrDeadline         ErrorType = "deadlineExceeded" // did not finish before its deadline
	ErrEndpointFailed   ErrorType = "endpointFailed"   // the endpoint failed before the answer was complete
	ErrOutcomeUnknown   ErrorType = "outcomeUnknown"   // the request may or may not have run
	ErrKeyReused        ErrorType = "keyReused"        // idempotency key already used with another body
	ErrKeyExpired       ErrorType = "keyExpired"       // idempotency key is past its retention period
	ErrLogUnavailable   ErrorType = "logUnavailable"   // the platform's log is unreachable
	ErrVersionConflict  ErrorType = "versionConflict"  // a concurrent change was accepted first
	ErrEndpointNotFound ErrorType = "endpointNotFound" // this VM does not own the endpoint
	ErrBusy             ErrorType = "busy"             // internal only: another endpoint may serve it sooner
)

// Error is a failure with the step and the peer where it occurred.
type Error struct {
	Type       ErrorType
	Step       string        // what was attempted, such as "reserve engine"
	Peer       string        // remote peer; empty for this process
	NotRun     bool          // true when the request certainly did not run
	RetryAfter time.Duration // zero when a retry won't help
	Err        error
}

// Error implements the error interface.
func (er *Error) Error() string {
	if er.Peer == "" {
		return fmt.Sprintf("%s: %v", er.Step, er.Err)
	}
	return fmt.Sprintf("%s at %s: %v", er.Step, er.Peer, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// AsError returns err as an *Error. Errors of other types become
// ErrUnavailable at the given step, with NotRun false.
func AsError(step string, err error) *Error {
	var er *Error
	if errors.As(err, &er) {
		return er
	}
	return &Error{Type: ErrUnavailable, Step: step, Err: err}
}

// TypeOf returns the ErrorType of err, or "" if err does not wrap an *Error.
func TypeOf(err error) ErrorType {
	var er *Error
	if errors.As(err, &er) {
		return er.Type
	}
	return ""
}
