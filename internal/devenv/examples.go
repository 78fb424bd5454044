package devenv

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// Example is a request that demonstrates one feature of the system.
type Example struct {
	// Title describes what the example demonstrates.
	Title  string
	Path   string
	Header http.Header
	Body   string
	// Status is the expected status of the answer, Contains a text that its body
	// must contain.
	Status   int
	Contains string
}

const chatPath = "/v1/chat/completions"

// Examples returns the examples in the order in which they are shown.
func Examples() []Example {
	key := http.Header{"Authorization": {"Bearer " + AccountKey}}
	return []Example{
		{
			Title:    "a chat, not streamed",
			Path:     chatPath,
			Header:   key,
			Body:     `{"model":"small","messages":[{"role":"user","content":"describe lot 7"}]}`,
			Status:   http.StatusOK,
			Contains: `"chat.completion"`,
		},
		{
			Title:    "a chat, streamed",
			Path:     chatPath,
			Header:   key,
			Body:     `{"model":"large","stream":true,"messages":[{"role":"user","content":"narrate lot 7"}]}`,
			Status:   http.StatusOK,
			Contains: "data: [DONE]",
		},
		{
			Title:    "a cascade: a cheap model first, a better one where its answer isn't good enough",
			Path:     chatPath,
			Header:   key,
			Body:     `{"model":"ask","messages":[{"role":"user","content":"is lot 7 sold with disclosure?"}]}`,
			Status:   http.StatusOK,
			Contains: `"chat.completion"`,
		},
		{
			Title:    "a call that may not be repeated; sent again, it gives the same answer and runs no second time",
			Path:     "/services/lanes/bids",
			Header:   withHeader(key, "Quetzalweir-Request-Key", "bid-1"),
			Body:     `{"lot":7,"amount":4200}`,
			Status:   http.StatusOK,
			Contains: "confirmation",
		},
		{
			Title:    "a refusal: the same call without a request key",
			Path:     "/services/lanes/bids",
			Header:   key,
			Body:     `{"lot":7,"amount":4200}`,
			Status:   http.StatusBadRequest,
			Contains: `"run_state":"not-run"`,
		},
	}
}

func withHeader(h http.Header, name, value string) http.Header {
	out := h.Clone()
	out.Set(name, value)
	return out
}

// curl returns the curl command that sends the example.
func (x Example) curl(address string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "curl -sS -i http://%s%s", address, x.Path)
	for _, name := range slices.Sorted(maps.Keys(x.Header)) {
		fmt.Fprintf(&b, " -H '%s: %s'", name, x.Header.Get(name))
	}
	fmt.Fprintf(&b, " -d '%s'", x.Body)
	return b.String()
}

// PrintExamples prints a command line for each example.
func (e *Env) PrintExamples(out io.Writer) {
	address := e.Hosts[0].CallerAddr()
	fmt.Fprintf(out, "callers: http://%s\noperators: http://%s (key %s)\n", address, e.Hosts[0].OperatorAddr(), OperatorKey)
	for _, x := range Examples() {
		fmt.Fprintf(out, "\n# %s\n%s\n", x.Title, x.curl(address))
	}
}

// ServeExamples sends each example and prints the answers. It stops at the
// first unexpected answer and returns an error.
func (e *Env) ServeExamples(ctx context.Context, out io.Writer) error {
	for _, x := range Examples() {
		fmt.Fprintf(out, "\n# %s\n", x.Title)
		if err := e.serveExample(ctx, out, x); err != nil {
			return fmt.Errorf("%s: %w", x.Title, err)
		}
	}
	return nil
}

func (e *Env) serveExample(ctx context.Context, out io.Writer, x Example) error {
	url := "http://" + e.Hosts[0].CallerAddr() + x.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(x.Body))
	if err != nil {
		return err
	}
	req.Header = x.Header.Clone()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n%s\n", resp.Status, body)
	if resp.StatusCode != x.Status {
		return fmt.Errorf("got status %d, want %d", resp.StatusCode, x.Status)
	}
	if !strings.Contains(string(body), x.Contains) {
		return fmt.Errorf("answer does not contain %q", x.Contains)
	}
	return nil
}
