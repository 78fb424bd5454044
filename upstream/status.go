package upstream

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/runstate"
)

const (
	// maxErrorMessage limits how much of the body of an error response is kept, in
	// bytes.
	maxErrorMessage = 512
	// errorMessageTimeout limits the time for reading it.
	errorMessageTimeout = time.Second
)

// statusError returns the response as a StatusError and closes its body.
func statusError(resp *http.Response) *StatusError {
	defer resp.Body.Close()
	timeout := time.AfterFunc(errorMessageTimeout, func() { resp.Body.Close() })
	defer timeout.Stop()
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorMessage))
	return &StatusError{
		Status:     resp.StatusCode,
		Leaving:    resp.Header.Get(HeaderLeaving) == headerTrue,
		NotRun:     statesNotRun(resp),
		RetryAfter: parseRetryAfter(resp.Header),
		Message:    strings.TrimSpace(string(message)),
	}
}

// statesNotRun reports whether a response states that the upstream didn't start the request.
func statesNotRun(resp *http.Response) bool {
	return runstate.StatesNotRun(resp.StatusCode, resp.Header.Get(HeaderNotRun) == headerTrue)
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}
