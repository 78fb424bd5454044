package upstream

import (
	"io"
	"net/http"
	"strings"
)

// maxMessage bounds the part of an error's body that is kept, in bytes.
const maxMessage = 512

// statusError reads the answer's start and closes it.
func statusError(resp *http.Response) *StatusError {
	defer resp.Body.Close()
	start, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	return &StatusError{
		Status:     resp.StatusCode,
		Leaving:    resp.Header.Get(HeaderLeaving) == headerTrue,
		NotRun:     resp.Header.Get(HeaderNotRun) == headerTrue,
		RetryAfter: parseRetryAfter(resp.Header),
		Message:    strings.TrimSpace(string(start)),
	}
}

func success(status int) bool {
	return status >= 200 && status < 300
}
