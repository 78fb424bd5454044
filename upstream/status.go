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
	e := newStatusError(resp.StatusCode, resp.Header)
	e.Message = strings.TrimSpace(string(message))
	return e
}

// newStatusError returns a response's status and what its header states, without a message.
func newStatusError(status int, header http.Header) *StatusError {
	return &StatusError{
		Status:     status,
		Leaving:    header.Get(HeaderLeaving) == headerTrue,
		NotRun:     statesNotRun(status, header),
		RetryAfter: parseRetryAfter(header),
	}
}

// statesNotRun reports whether a response states that the upstream didn't start the request.
func statesNotRun(status int, header http.Header) bool {
	return runstate.StatesNotRun(status, header.Get(HeaderNotRun) == headerTrue)
}

func isSuccess(status int) bool {
	return status >= 200 && status < 300
}
