package notice

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxBackoff bounds the time for which an upstream can keep requests away with one answer, so that
// a wrong value takes it out of service for a while only.
const MaxBackoff = 5 * time.Minute

// dateHeader carries the time at which an answer was made (RFC 9110, section 6.6.1).
const dateHeader = "Date"

// RetryAfter returns the longest time that the values of Retry-After state, at most MaxBackoff; 0 if
// they state none or one that is over. readable is false if a value is neither empty, a number of
// seconds, which may have a fraction, nor an HTTP date. A date counts from the answer's own Date,
// so that it doesn't depend on this host's clock.
func RetryAfter(header http.Header, name string) (longest time.Duration, readable bool) {
	readable = true
	for _, value := range header.Values(name) {
		d, ok := parseRetryAfter(strings.TrimSpace(value), header.Get(dateHeader))
		readable = readable && ok
		longest = max(longest, min(d, MaxBackoff))
	}
	return longest, readable
}

func parseRetryAfter(value, date string) (d time.Duration, ok bool) {
	if value == "" {
		return 0, true
	}
	if strings.Trim(value, "0123456789.") == "" {
		return parseSeconds(value)
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	madeAt, err := http.ParseTime(date)
	if err != nil {
		madeAt = time.Now()
	}
	return at.Sub(madeAt), true
}

// parseSeconds parses a decimal number without a sign. A number out of range counts as MaxBackoff.
func parseSeconds(value string) (d time.Duration, ok bool) {
	if !strings.ContainsAny(value, "0123456789") || strings.Count(value, ".") > 1 {
		return 0, false
	}
	seconds, _ := strconv.ParseFloat(value, 64) // infinite if out of range
	if seconds >= MaxBackoff.Seconds() {
		return MaxBackoff, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
