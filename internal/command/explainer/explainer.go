// Package explainer reconstructs the history of one request from the log lines
// of several processes.
package explainer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes limits one line of a log. A longer one ends the reading of that
// log with an error.
const maxLineBytes = 1 << 20

// logLine holds the fields of a log line that describe a request or an endpoint.
type logLine struct {
	Time               time.Time `json:"time"`
	Message            string    `json:"msg"`
	VM                 string    `json:"vm"`
	Request            string    `json:"request"`
	Endpoint           string    `json:"endpoint"`
	Helpers            []string  `json:"helpers"`
	Team               string    `json:"team"`
	Route              string    `json:"route"`
	Outcome            string    `json:"outcome"`
	Reason             string    `json:"reason"`
	Error              string    `json:"error"`
	Status             int       `json:"status"`
	PromptTokens       int       `json:"prompt"`
	Events             int       `json:"events"`
	Sends              int       `json:"sends"`
	Runs               int       `json:"runs"`
	LastEventID        int       `json:"after"`
	AttemptEvents      int       `json:"attemptEvents"`
	Parts              []string  `json:"parts"`
	Candidates         int       `json:"seen"`
	QueueWaitMs        int       `json:"waitedMs"`
	FirstEventMs       int       `json:"firstMs"`
	DurationMs         int       `json:"ms"`
	PredictedMs        int       `json:"predictedMs"`
	RetryAfterMs       int       `json:"retryMs"`
	LongestPauseMs     int       `json:"pauseMs"`
	FirstEventTargetMs int       `json:"targetMs"`
	PauseTargetMs      int       `json:"pauseTargetMs"`
	Loss               float64   `json:"loss"`
	Value              float64   `json:"worth"`
	NotRun             bool      `json:"notRun"`
	State              string    `json:"state"`
	Unavailable        bool      `json:"away"`
	Version            int       `json:"version"`
}

// Explainer collects the log lines of one request and those about the endpoints
// that it used.
type Explainer struct {
	Request string

	requestLines []logLine
	contextLines []logLine // without a request, such as those about endpoints and the store
}

// Read reads the lines of one log. A line may have any prefix before its JSON
// object. Other lines are skipped.
func (ex *Explainer) Read(in io.Reader) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for sc.Scan() {
		at := strings.IndexByte(sc.Text(), '{')
		if at < 0 {
			continue
		}
		ln := logLine{}
		var typeErr *json.UnmarshalTypeError // the other fields are decoded all the same
		if err := json.Unmarshal([]byte(sc.Text()[at:]), &ln); err != nil && !errors.As(err, &typeErr) {
			continue // not a JSON log line
		}
		switch ln.Request {
		case ex.Request:
			ex.requestLines = append(ex.requestLines, ln)
		case "":
			ex.contextLines = append(ex.contextLines, ln)
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Write writes the request's events in order, and the reason for its outcome.
func (ex *Explainer) Write(out io.Writer) error {
	if len(ex.requestLines) == 0 {
		return fmt.Errorf("no log line has request %q", ex.Request)
	}
	byTime := func(a, b logLine) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(ex.requestLines, byTime)
	slices.SortStableFunc(ex.contextLines, byTime)
	begin := ex.requestLines[0].Time
	lines := append(slices.Clone(ex.requestLines), ex.relatedLines()...)
	slices.SortStableFunc(lines, byTime)
	fmt.Fprintf(out, "request %s, from %s\n", ex.Request, begin.UTC().Format(time.RFC3339Nano))
	for _, ln := range lines {
		fmt.Fprintf(out, "%+8.3f s  %-16s %s\n", ln.Time.Sub(begin).Seconds(), ln.VM, ln.describe())
	}
	_, err := fmt.Fprintf(out, "why: %s\n", ex.cause())
	return err
}

// relatedLines returns the lines about the endpoints that the request used, the
// store and the configuration, from shortly before its start until its end. Lines
// of VMs without a line about the request are left out.
func (ex *Explainer) relatedLines() []logLine {
	const leadTime = 3 * time.Second
	from, to := ex.requestLines[0].Time.Add(-leadTime), ex.requestLines[len(ex.requestLines)-1].Time
	endpoints := map[string]bool{}
	vms := map[string]bool{}
	for _, ln := range ex.requestLines {
		endpoints[ln.Endpoint] = ln.Endpoint != ""
		vms[ln.VM] = true
		for _, id := range ln.Helpers {
			endpoints[id] = true
		}
	}
	out := []logLine{}
	for _, ln := range ex.contextLines {
		if ln.Time.Before(from) || ln.Time.After(to) || !vms[ln.VM] {
			continue
		}
		if endpoints[ln.Endpoint] || ln.Message == "store" || ln.Message == "stop" || ln.Message == "configuration in force" {
			out = append(out, ln)
		}
	}
	return out
}

// describe returns the event of a log line as readable text.
func (ln *logLine) describe() string {
	switch ln.Message {
	case "placed":
		text := fmt.Sprintf("placed at %s", ln.Endpoint)
		if len(ln.Helpers) > 0 {
			text += " with helpers " + strings.Join(ln.Helpers, ", ")
		}
		return text + fmt.Sprintf(" after waiting %d ms, chosen from %d endpoints that could take it; first event predicted in %d ms, expected loss %.1f of a value of %.1f",
			ln.QueueWaitMs, ln.Candidates, ln.FirstEventMs, ln.Loss, ln.Value)
	case "not placed":
		return fmt.Sprintf("not placed: %s; %d endpoints could take it, the best with an expected loss of %.1f; caller told to retry after %d ms", ln.Reason, ln.Candidates, ln.Loss, ln.RetryAfterMs)
	case "first event":
		return fmt.Sprintf("first event from %s after %d ms (predicted %d ms)", ln.Endpoint, ln.DurationMs, ln.PredictedMs)
	case "again":
		return fmt.Sprintf("retried (sent %d times, may have run %d times, caller has events up to %d): %s", ln.Sends, ln.Runs, ln.LastEventID, ln.reasonText())
	case "failed":
		return fmt.Sprintf("failed at %s after %d events: %s; shared parts of the prompt: %s", ln.Endpoint, ln.AttemptEvents, ln.Reason, strings.Join(ln.Parts, ", "))
	case "refused":
		return fmt.Sprintf("refused with %d: %s", ln.Status, ln.Reason)
	case "ended":
		return fmt.Sprintf("ended after %d ms: %s; prompt of %d tokens, sent %d times, %d events, first after %d ms (objective %d ms), longest pause %d ms (objective %d ms)",
			ln.DurationMs, ln.Outcome, ln.PromptTokens, ln.Sends, ln.Events, ln.FirstEventMs, ln.FirstEventTargetMs, ln.LongestPauseMs, ln.PauseTargetMs)
	case "endpoint":
		return fmt.Sprintf("endpoint %s is %s", ln.Endpoint, ln.State)
	case "store":
		return fmt.Sprintf("store unavailable: %t %s", ln.Unavailable, ln.Error)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", ln.Message, ln.Reason, ln.Error))
}

// reasonText returns the reason, followed by the error unless the reason holds it.
func (ln *logLine) reasonText() string {
	if ln.Error != "" && !strings.Contains(ln.Reason, ln.Error) {
		return ln.Reason + ": " + ln.Error
	}
	return ln.Reason
}

// cause returns the reason for the outcome of the request.
func (ex *Explainer) cause() string {
	last := ex.requestLines[len(ex.requestLines)-1]
	placed, firstEvent, retried := logLine{}, logLine{}, logLine{}
	for _, ln := range ex.requestLines {
		switch ln.Message {
		case "placed":
			placed = ln
		case "first event":
			firstEvent = ln
		case "again":
			retried = ln
		}
	}
	switch {
	case last.Message == "refused":
		return fmt.Sprintf("the entry VM refused it with %d: %s", last.Status, last.Reason)
	case last.Message != "ended":
		return "its end was not logged: the process stopped first, or log lines were dropped"
	case !strings.HasPrefix(last.Outcome, "200"):
		text := "it ended with " + last.Outcome
		if retried.Message != "" {
			text += "; before that " + retried.reasonText()
		}
		return text
	case last.FirstEventTargetMs > 0 && last.FirstEventMs > last.FirstEventTargetMs && placed.QueueWaitMs > last.FirstEventTargetMs/2:
		return fmt.Sprintf("it was answered late: it waited %d ms to be placed", placed.QueueWaitMs)
	case last.FirstEventTargetMs > 0 && last.FirstEventMs > last.FirstEventTargetMs && placed.FirstEventMs > last.FirstEventTargetMs:
		return fmt.Sprintf("it was answered late, as predicted (%d ms): no engine could do better", placed.FirstEventMs)
	case last.FirstEventTargetMs > 0 && last.FirstEventMs > last.FirstEventTargetMs && firstEvent.Message != "":
		return fmt.Sprintf("it was answered late: %s took %d ms (predicted %d ms)", firstEvent.Endpoint, firstEvent.DurationMs, firstEvent.PredictedMs)
	case last.PauseTargetMs > 0 && last.LongestPauseMs > last.PauseTargetMs:
		return fmt.Sprintf("its events paused for %d ms, the objective is %d ms: %s prefilled other prompts meanwhile", last.LongestPauseMs, last.PauseTargetMs, placed.Endpoint)
	}
	return "it was served"
}
