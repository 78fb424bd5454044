package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/notice"
)

// Headers of the protocol between this client and upstreams.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderPriority     = "X-Priority"
	HeaderDeadline     = "X-Deadline-Ms"
	HeaderModelVersion = "X-Model-Version"
	HeaderLoad         = "X-Load"
	HeaderLeaving      = "X-Leaving"
	HeaderNotRun       = "X-Not-Run"
	HeaderLastEventID  = "Last-Event-Id"

	headerTrue       = "1"
	headerRetryAfter = "Retry-After"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1), and Expect, which the client handles itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeaders returns a copy of h without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// parseLoad returns the load report in the response headers; ok is false if it
// is missing or malformed. load.Leaving comes from a header of its own and is set
// in either case.
func parseLoad(h http.Header) (load Load, ok bool) {
	load.Leaving = h.Get(HeaderLeaving) == headerTrue
	parts := strings.Split(h.Get(HeaderLoad), "/")
	if len(parts) != 3 {
		return load, false
	}
	for i, field := range []*int{&load.Running, &load.Queued, &load.Capacity} {
		n, err := strconv.Atoi(parts[i])
		if err != nil || n < 0 {
			return Load{Leaving: load.Leaving}, false
		}
		*field = n
	}
	return load, true
}

// parseRetryAfter returns the time that Retry-After states; 0 if it states none.
func parseRetryAfter(h http.Header) time.Duration {
	d, _ := notice.RetryAfter(h, headerRetryAfter)
	return d
}
