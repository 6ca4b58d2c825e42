package mulberrylever

import (
	"errors"
	"fmt"
	"time"
)

// ErrorType classifies errors that reach a caller. The names are part of the
// callers' interface.
type ErrorType string

// The types of errors that reach a caller.
const (
	ErrInvalidRequest   ErrorType = "invalidRequest"   // the request itself is wrong
	ErrUnauthorized     ErrorType = "unauthorized"     // no or unknown access key
	ErrNotFound         ErrorType = "notFound"         // no such model, service or path
	ErrTooLarge         ErrorType = "tooLarge"         // more than any endpoint can hold
	ErrOverloaded       ErrorType = "overloaded"       // would not finish in time
	ErrUnavailable      ErrorType = "unavailable"      // nothing can serve it now
	ErrDeadline         ErrorType = "deadlineExceeded" // did not finish in time
	ErrEndpointFailed   ErrorType = "endpointFailed"   // the endpoint broke off
	ErrOutcomeUnknown   ErrorType = "outcomeUnknown"   // it may or may not have run
	ErrKeyReused        ErrorType = "keyReused"        // key used before with another body
	ErrKeyExpired       ErrorType = "keyExpired"       // key older than keys are kept
	ErrLogUnavailable   ErrorType = "logUnavailable"   // the platform's log can't be reached
	ErrVersionConflict  ErrorType = "versionConflict"  // another change came first
	ErrEndpointNotFound ErrorType = "endpointNotFound" // this VM does not own the endpoint
	ErrBusy             ErrorType = "busy"             // another endpoint may serve it sooner; callers never get it
)

// Error is a failure with the step and the peer at which it arose.
type Error struct {
	Type       ErrorType
	Step       string        // what was attempted, such as "reserve engine"
	Peer       string        // at which peer; empty for this process
	NotRun     bool          // certain that nothing ran
	RetryAfter time.Duration // zero where waiting does not help
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

// TypeOf returns the type of err, or "" when it has none.
func TypeOf(err error) ErrorType {
	var er *Error
	if errors.As(err, &er) {
		return er.Type
	}
	return ""
}
