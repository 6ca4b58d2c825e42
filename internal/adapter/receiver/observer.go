package receiver

import (
	"time"

	ml "github.com/mulberrylever/mulberrylever"
)

// CallRecord describes one finished call, for logs and metrics.
type CallRecord struct {
	RequestID      ml.RequestID
	Team           ml.TeamID
	Method         string
	Path           string
	Model          ml.ModelID
	Service        ml.ServiceName
	Length         ml.Length // of the prompt
	PromptTokens   ml.Tokens // estimated
	AnswerTokens   ml.Tokens
	Attempts       int
	Endpoint       ml.EndpointID // that sent the answer
	TTFT           time.Duration // zero when no token was received
	MeanInterToken time.Duration // zero when fewer than two tokens were received
	Duration       time.Duration
	Admitted       bool // the request passed the checks and limits
	Error          *ml.Error
}

// Observer is notified of each finished call.
type Observer interface {
	Observe(now time.Time, cr CallRecord)
}
