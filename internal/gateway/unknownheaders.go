package gateway

import (
	"net/http"
	"slices"
	"sync"

	"github.com/rs/zerolog"
)

// maxUnknownHeaders bounds the names of unknown headers that are remembered, and thereby logged.
const maxUnknownHeaders = 32

// standardAnswerHeaders are the headers of HTTP answers that need no handling beyond that of the HTTP
// library and endToEnd.
var standardAnswerHeaders = []string{
	"Cache-Control", "Connection", "Content-Encoding", "Content-Length", "Content-Type", "Date",
	"Keep-Alive", "Server", "Trailer", "Transfer-Encoding", "Vary", "X-Content-Type-Options",
}

// unknownHeaders finds headers in upstreams' answers that nothing here reads. A statement in such a
// header would be ignored without a trace.
type unknownHeaders struct {
	known map[string]bool
	log   zerolog.Logger

	mu    sync.Mutex
	found map[string]bool
}

func newUnknownHeaders(names *Headers, log zerolog.Logger) *unknownHeaders {
	u := &unknownHeaders{known: make(map[string]bool), found: make(map[string]bool), log: log}
	for _, name := range slices.Concat(standardAnswerHeaders, names.AnswerHeaders(), names.PassedOn) {
		u.known[http.CanonicalHeaderKey(name)] = true
	}
	return u
}

// observe logs each unknown header of an answer the first time that it occurs.
func (u *unknownHeaders) observe(header http.Header, upstream string) {
	for name := range header {
		if !u.known[name] && u.addFound(name) {
			u.log.Warn().Str("event", "answer-header-unknown").Str("header", headerText([]string{name})).Str("upstream", upstream).Msg("")
		}
	}
}

// addFound reports whether the name wasn't found before and fits in maxUnknownHeaders.
func (u *unknownHeaders) addFound(name string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.found[name] || len(u.found) == maxUnknownHeaders {
		return false
	}
	u.found[name] = true
	return true
}

// count returns the number of unknown headers that were found.
func (u *unknownHeaders) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.found)
}
