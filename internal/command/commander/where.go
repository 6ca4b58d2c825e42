package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/mulberrylever/mulberrylever/internal/duty/forwarder"
)

const (
	// whereTimeout bounds the wait for an entry VM.
	whereTimeout = 5 * time.Second
	// maxWhereBytes bounds an entry VM's answer, which lists all endpoints of a service.
	maxWhereBytes = 4 << 20
)

type whereCommand struct {
	At     string `long:"at" required:"true" description:"host:port of an entry VM's metrics"`
	Host   string `long:"host" required:"true" description:"host of the request"`
	Path   string `long:"path" required:"true" description:"path of the request"`
	Method string `long:"method" default:"POST" description:"method of the request"`
	Team   string `long:"team" description:"team of the request"`
	Tokens string `long:"tokens" description:"tokens of the prompt and at most of the answer, such as 5000,600"`
	JSON   bool   `long:"json" description:"print JSON"`
}

// Execute prints where a request would go now. If another entry VM schedules, that one is asked.
func (wc *whereCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	text, wh, err := wc.ask(ctx, wc.At)
	if err != nil {
		return err
	}
	if wh.Scheduler != "" {
		if text, wh, err = wc.askScheduler(ctx, wh.Scheduler); err != nil {
			return err
		}
	}
	if wc.JSON {
		_, err := os.Stdout.Write(text)
		return err
	}
	writeWhere(os.Stdout, wh)
	return nil
}

// askScheduler asks the entry VM that schedules, at the port of the one that was asked first.
func (wc *whereCommand) askScheduler(ctx context.Context, address string) ([]byte, *forwarder.Where, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, fmt.Errorf("address of the scheduler: %w", err)
	}
	_, port, err := net.SplitHostPort(wc.At)
	if err != nil {
		return nil, nil, fmt.Errorf("--at: %w", err)
	}
	return wc.ask(ctx, net.JoinHostPort(host, port))
}

// ask returns the answer of an entry VM.
func (wc *whereCommand) ask(ctx context.Context, address string) ([]byte, *forwarder.Where, error) {
	query := url.Values{"host": {wc.Host}, "path": {wc.Path}, "method": {wc.Method}, "team": {wc.Team}, "tokens": {wc.Tokens}}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/where?"+query.Encode(), nil)
	if err != nil {
		return nil, nil, fmt.Errorf("--at: %w", err)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(io.LimitReader(rs.Body, maxWhereBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("ask %s: %w", address, err)
	}
	if rs.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("ask %s: status %d: %s", address, rs.StatusCode, text)
	}
	wh := &forwarder.Where{}
	if err := json.Unmarshal(text, wh); err != nil {
		return nil, nil, fmt.Errorf("answer of %s: %w", address, err)
	}
	return text, wh, nil
}

// writeWhere writes an answer as text.
func writeWhere(to io.Writer, wh *forwarder.Where) {
	fmt.Fprintf(to, "%s, rank %d: %s", wh.Service, wh.Rank, wh.Outcome)
	for i, id := range wh.At {
		if i == 1 {
			fmt.Fprintf(to, " with helpers")
		}
		fmt.Fprintf(to, " %s", id)
	}
	fmt.Fprintln(to)
	if wh.FirstMs > 0 {
		fmt.Fprintf(to, "first event expected in %d ms; expected loss %.2f of %.2f\n", wh.FirstMs, wh.Loss, wh.Value)
	}
	if wh.RetryMs > 0 {
		fmt.Fprintf(to, "expected loss %.2f of %.2f; may come back in %d ms\n", wh.Loss, wh.Value, wh.RetryMs)
	}
	if wh.Behind {
		fmt.Fprintln(to, "its team uses more than its share: while others wait, it goes behind them")
	}
	fmt.Fprintf(to, "%d requests wait here\n", wh.Waiting)
	for _, eo := range wh.Endpoints {
		reason := eo.Reason
		if reason == "" {
			reason = "may get it"
		}
		fmt.Fprintf(to, "%-16s %-12s %3d running, busy %5d ms, failing %.2f: %s\n", eo.ID, eo.Domain, eo.Running, eo.BusyMs, eo.FailureRate, reason)
	}
}
