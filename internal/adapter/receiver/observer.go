package receiver

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// CallRecord is what is recorded of one call.
type CallRecord struct {
	RequestID      ml.RequestID
	Team           ml.TeamID
	Method         string
	Path           string
	Model          ml.ModelID
	Service        ml.ServiceName
	Length         ml.Length
	PromptTokens   ml.Tokens
	AnswerTokens   ml.Tokens
	Attempts       int
	Endpoint       ml.EndpointID // where the answer came from
	TTFT           time.Duration // zero when no token came
	MeanInterToken time.Duration // mean time between two tokens
	Duration       time.Duration
	Admitted       bool
	Error          *ml.Error
}

// Observer records calls.
type Observer interface {
	Observe(now time.Time, en CallRecord)
}
