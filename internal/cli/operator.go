package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/manifest"
)

const (
	operatorTimeout = 30 * time.Second
	// maxOperatorResponseBytes is the largest part of a response body that is read.
	maxOperatorResponseBytes = 256 << 20
)

// operatorFlags holds the address of an entry host's operators' API and the
// operator key.
type operatorFlags struct {
	Operator    string `help:"URL of an entry host's operators' address." default:"http://127.0.0.1:8081"`
	OperatorKey string `help:"Key of the operators' address."`
}

// operatorClient calls the operators' API of an entry host.
type operatorClient struct {
	baseURL    string
	key        string
	httpClient *http.Client
}

func (f operatorFlags) client() *operatorClient {
	return &operatorClient{baseURL: f.Operator, key: f.OperatorKey, httpClient: &http.Client{Timeout: operatorTimeout}}
}

// apiError is the error of a call to which the operators' API responded with an
// HTTP status other than 2xx. It holds the status and the decoded body.
type apiError struct {
	Status int
	Answer entry.OperatorError
}

// Error implements error.
func (e *apiError) Error() string {
	text := fmt.Sprintf("%s (status %d, effect: %s)", e.Answer.Message, e.Status, e.Answer.Outcome)
	if e.Answer.Head != nil {
		text += fmt.Sprintf("\nthe manifest in force is epoch %d, digest %s, build %q", e.Answer.Head.Epoch, e.Answer.Head.Digest, e.Answer.Head.Build)
	}
	return text
}

// call sends one request and returns the body of the response; a status other
// than 2xx is an apiError.
func (c *operatorClient) call(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxOperatorResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, newAPIError(resp.StatusCode, data)
	}
	return data, nil
}

func newAPIError(status int, data []byte) *apiError {
	e := &apiError{Status: status}
	if json.Unmarshal(data, &e.Answer) != nil {
		e.Answer = entry.OperatorError{Message: string(data), Outcome: entry.OutcomeUnknown}
	}
	return e
}

func (c *operatorClient) get(ctx context.Context, path string, result any) error {
	data, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

func printProblems(w io.Writer, problems []manifest.Problem) {
	for _, p := range problems {
		fmt.Fprintln(w, p)
	}
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
