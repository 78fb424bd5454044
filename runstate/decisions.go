package runstate

import "net/http"

// The functions of this file decide, apart from I/O, what a run of a request permits. Both front doors, and all paths
// on which a request reaches an upstream, ask them.

// StatesNotRun reports whether an upstream's answer states that the upstream didn't run the request and never will:
// by the header for that statement, whose presence is given by marked, or by the status 421 (Misdirected Request). No
// other answer states it. In particular, an upstream that ran a request can answer 429 or 503.
func StatesNotRun(status int, marked bool) bool {
	return marked || status == http.StatusMisdirectedRequest
}

// GuaranteesNotRun reports whether a response with the status guarantees to the caller that the request didn't run and
// never will. Callers send requests that may run only once again after such a response.
func GuaranteesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// PermitsStatus reports whether a caller may get a response with the status while the request is in this state.
func (s State) PermitsStatus(status int) bool { return s == NotRun || !GuaranteesNotRun(status) }

// MayRunAgain reports whether a request in this state may be sent to an upstream once more. repeatable is set if the
// request may run more than once.
func (s State) MayRunAgain(repeatable bool) bool { return s == NotRun || repeatable }

// MayDropAnswer reports whether the answer of a run may be dropped to run the request again elsewhere.
// started is set if the caller may have received a part of the answer.
func MayDropAnswer(repeatable, started bool) bool { return Ran.MayRunAgain(repeatable) && !started }
