// Package explainer tells the way of one request from the log lines of several
// processes.
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

// maxLine bounds one line of a log in bytes; longer ones are skipped.
const maxLine = 1 << 20

// line holds the fields of a log line that tell of a request.
type line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	VM       string    `json:"vm"`
	Request  string    `json:"request"`
	Endpoint string    `json:"endpoint"`
	Helpers  []string  `json:"helpers"`
	Team     string    `json:"team"`
	Route    string    `json:"route"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	Error    string    `json:"error"`
	Status   int       `json:"status"`
	Prompt   int       `json:"prompt"`
	Events   int       `json:"events"`
	Sends    int       `json:"sends"`
	Runs     int       `json:"runs"`
	After    int       `json:"after"`
	Seen     int       `json:"seen"`
	Waited   int       `json:"waitedMs"`
	First    int       `json:"firstMs"`
	Took     int       `json:"ms"`
	Pred     int       `json:"predictedMs"`
	Retry    int       `json:"retryMs"`
	Pause    int       `json:"pauseMs"`
	Target   int       `json:"targetMs"`
	PauseMax int       `json:"pauseTargetMs"`
	Loss     float64   `json:"loss"`
	Worth    float64   `json:"worth"`
	NotRun   bool      `json:"notRun"`
	State    string    `json:"state"`
	Away     bool      `json:"away"`
	Version  int       `json:"version"`
}

// Explainer gathers the lines of one request and what the processes said of
// the endpoints that it met.
type Explainer struct {
	Request string

	own    []line
	others []line // of endpoints, the store and configuration
}

// Read takes in the lines of one log. A line may have anything before its JSON
// object; lines of other kinds are skipped.
func (ex *Explainer) Read(in io.Reader) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 0, 64<<10), maxLine)
	for sc.Scan() {
		at := strings.IndexByte(sc.Text(), '{')
		if at < 0 {
			continue
		}
		ln := line{}
		var wrong *json.UnmarshalTypeError // of one field; the others are read
		if err := json.Unmarshal([]byte(sc.Text()[at:]), &ln); err != nil && !errors.As(err, &wrong) {
			continue // not a line of ours
		}
		switch ln.Request {
		case ex.Request:
			ex.own = append(ex.own, ln)
		case "":
			ex.others = append(ex.others, ln)
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Write tells the way of the request in order, and the reason for its end.
func (ex *Explainer) Write(out io.Writer) error {
	if len(ex.own) == 0 {
		return fmt.Errorf("no line names request %q", ex.Request)
	}
	byTime := func(a, b line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(ex.own, byTime)
	slices.SortStableFunc(ex.others, byTime)
	begin := ex.own[0].Time
	lines := append(slices.Clone(ex.own), ex.around()...)
	slices.SortStableFunc(lines, byTime)
	fmt.Fprintf(out, "request %s, from %s\n", ex.Request, begin.UTC().Format(time.RFC3339Nano))
	for _, ln := range lines {
		fmt.Fprintf(out, "%+8.3f s  %-16s %s\n", ln.Time.Sub(begin).Seconds(), ln.VM, ln.tell())
	}
	_, err := fmt.Fprintf(out, "why: %s\n", ex.why())
	return err
}

// around returns what was said of the endpoints that the request met, and of
// the store, from shortly before it until its end.
func (ex *Explainer) around() []line {
	const before = 3 * time.Second
	from, to := ex.own[0].Time.Add(-before), ex.own[len(ex.own)-1].Time
	met := map[string]bool{}
	vms := map[string]bool{}
	for _, ln := range ex.own {
		met[ln.Endpoint] = ln.Endpoint != ""
		vms[ln.VM] = true
		for _, id := range ln.Helpers {
			met[id] = true
		}
	}
	out := []line{}
	for _, ln := range ex.others {
		if ln.Time.Before(from) || ln.Time.After(to) || !vms[ln.VM] {
			continue
		}
		if met[ln.Endpoint] || ln.Message == "store" || ln.Message == "stop" || ln.Message == "configuration in force" {
			out = append(out, ln)
		}
	}
	return out
}

// tell returns a line as a person would say it.
func (ln *line) tell() string {
	switch ln.Message {
	case "placed":
		text := fmt.Sprintf("placed at %s", ln.Endpoint)
		if len(ln.Helpers) > 0 {
			text += " with " + strings.Join(ln.Helpers, ", ")
		}
		return text + fmt.Sprintf(" after %d ms, of %d endpoints that could take it; first event predicted in %d ms, loss %.1f of %.1f",
			ln.Waited, ln.Seen, ln.First, ln.Loss, ln.Worth)
	case "not placed":
		return fmt.Sprintf("not placed: %s; %d endpoints could take it, the best at a loss of %.1f; asked back after %d ms", ln.Reason, ln.Seen, ln.Loss, ln.Retry)
	case "first event":
		return fmt.Sprintf("first event from %s after %d ms, %d were predicted", ln.Endpoint, ln.Took, ln.Pred)
	case "again":
		return fmt.Sprintf("tried again (sent %d times, may have run %d times, caller has events up to %d): %s", ln.Sends, ln.Runs, ln.After, ln.because())
	case "refused":
		return fmt.Sprintf("refused with %d: %s", ln.Status, ln.Reason)
	case "ended":
		return fmt.Sprintf("ended after %d ms: %s; prompt %d, sent %d times, %d events, first after %d ms (objective %d), longest pause %d ms (objective %d)",
			ln.Took, ln.Outcome, ln.Prompt, ln.Sends, ln.Events, ln.First, ln.Target, ln.Pause, ln.PauseMax)
	case "endpoint":
		return fmt.Sprintf("endpoint %s is %s", ln.Endpoint, ln.State)
	case "store":
		return fmt.Sprintf("store away: %t %s", ln.Away, ln.Error)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", ln.Message, ln.Reason, ln.Error))
}

func (ln *line) because() string {
	if ln.Error != "" && !strings.Contains(ln.Reason, ln.Error) {
		return ln.Reason + ": " + ln.Error
	}
	return ln.Reason
}

// why names the reason for how the request ended.
func (ex *Explainer) why() string {
	last := ex.own[len(ex.own)-1]
	placed, first, again := line{}, line{}, line{}
	for _, ln := range ex.own {
		switch ln.Message {
		case "placed":
			placed = ln
		case "first event":
			first = ln
		case "again":
			again = ln
		}
	}
	switch {
	case last.Message == "refused":
		return fmt.Sprintf("the entry VM refused it with %d: %s", last.Status, last.Reason)
	case last.Message != "ended":
		return "its end was not logged: the process ended first, or lines were dropped"
	case !strings.HasPrefix(last.Outcome, "200"):
		text := "it ended with " + last.Outcome
		if again.Message != "" {
			text += "; before that " + again.because()
		}
		return text
	case last.Target > 0 && last.First > last.Target && placed.Waited > last.Target/2:
		return fmt.Sprintf("it was answered late: it waited %d ms for a place", placed.Waited)
	case last.Target > 0 && last.First > last.Target && placed.First > last.Target:
		return fmt.Sprintf("it was answered late, as predicted (%d ms): no engine could do better", placed.First)
	case last.Target > 0 && last.First > last.Target && first.Message != "":
		return fmt.Sprintf("it was answered late: %s took %d ms where %d were predicted", first.Endpoint, first.Took, first.Pred)
	case last.PauseMax > 0 && last.Pause > last.PauseMax:
		return fmt.Sprintf("its events paused for %d ms, the objective is %d: %s read other prompts meanwhile", last.Pause, last.PauseMax, placed.Endpoint)
	}
	return "it was served"
}
