package notice

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRetryAfterValues(t *testing.T) {
	const date = "Sun, 06 Nov 1994 08:49:37 GMT"
	tests := []struct {
		desc     string
		values   []string
		want     time.Duration
		readable bool
	}{
		{"missing", nil, 0, true},
		{"empty", []string{""}, 0, true},
		{"zero", []string{"0"}, 0, true},
		{"seconds", []string{"3"}, 3 * time.Second, true},
		{"with spaces", []string{" 3 "}, 3 * time.Second, true},
		{"a fraction", []string{"0.25"}, 250 * time.Millisecond, true},
		{"a fraction without digits before it", []string{".5"}, 500 * time.Millisecond, true},
		{"negative", []string{"-3"}, 0, false},
		{"long", []string{"3600"}, MaxBackoff, true},
		{"huge", []string{"99999999999999999999999999999"}, MaxBackoff, true},
		{"out of range", []string{strings.Repeat("1", 400)}, MaxBackoff, true},
		{"exponent", []string{"1e3"}, 0, false},
		{"hexadecimal", []string{"0x10"}, 0, false},
		{"not a number", []string{"NaN"}, 0, false},
		{"infinite", []string{"Inf"}, 0, false},
		{"dots only", []string{"."}, 0, false},
		{"two dots", []string{"1.2.3"}, 0, false},
		{"with a unit", []string{"3s"}, 0, false},
		{"a list", []string{"3, 4"}, 0, false},
		{"a date", []string{"Sun, 06 Nov 1994 08:49:40 GMT"}, 3 * time.Second, true},
		{"an obsolete form of a date", []string{"Sunday, 06-Nov-94 08:49:40 GMT"}, 3 * time.Second, true},
		{"a date that is over", []string{"Sun, 06 Nov 1994 08:49:00 GMT"}, 0, true},
		{"a distant date", []string{"Sun, 06 Nov 2044 08:49:00 GMT"}, MaxBackoff, true},
		{"twice", []string{"2", "5"}, 5 * time.Second, true},
		{"garbage", []string{"\x00\xff"}, 0, false},
		{"garbage beside a value", []string{"soon", "2"}, 2 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			header := http.Header{"T-Retry-After": test.values, "Date": {date}}
			n := Read(http.StatusServiceUnavailable, header, testNames)
			is.Equal(n.Backoff, test.want)
			is.Equal(len(n.Unreadable) == 0, test.readable)
			for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusTooManyRequests} {
				is.True(Read(status, header, testNames).IsZero()) // counts with 503 only
			}
		})
	}
}

// Without the answer's own date, the host's clock is all there is.
func TestRetryAfterDateWithoutTheDateOfTheAnswer(t *testing.T) {
	is := is.New(t)
	header := http.Header{"T-Retry-After": {time.Now().Add(10 * time.Second).UTC().Format(http.TimeFormat)}}
	d, readable := RetryAfter(header, "T-Retry-After")
	is.True(readable)
	is.True(d > 8*time.Second && d <= 10*time.Second)
}

func FuzzRetryAfter(f *testing.F) {
	for _, value := range []string{"", "3", "0.5", "-1", "1e9", "99999999999999999999", "Sun, 06 Nov 1994 08:49:37 GMT", "\x00"} {
		f.Add(value, "Sun, 06 Nov 1994 08:49:37 GMT")
	}
	f.Fuzz(func(t *testing.T, value, date string) {
		header := http.Header{"T-Retry-After": {value, value}, "Date": {date}}
		if n := Read(http.StatusServiceUnavailable, header, testNames); n.Backoff < 0 || n.Backoff > MaxBackoff {
			t.Errorf("%q states a backoff of %v", value, n.Backoff)
		}
	})
}
