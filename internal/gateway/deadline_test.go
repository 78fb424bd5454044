package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/routing"
)

// A caller could extend the timeout of its route to 30 s, or be given none, by a deadline so large that its
// duration overflows.
func TestDeadlineOfACallerNeverExceedsTheRoutesTimeout(t *testing.T) {
	for _, test := range []struct {
		deadline      string
		timeout, want time.Duration
	}{
		{"1500", 3 * time.Second, 1500 * time.Millisecond},
		{"5000", 3 * time.Second, 3 * time.Second},
		{"1e14", 3 * time.Second, 3 * time.Second},
		{"1e300", 3 * time.Second, 3 * time.Second},
		{"Inf", 3 * time.Second, 3 * time.Second},
		{"NaN", 3 * time.Second, 3 * time.Second},
		{"-5", 3 * time.Second, 3 * time.Second},
		{"", 0, defaultTimeout},
		{"1e300", 0, maxCallerDeadline},
	} {
		t.Run(test.deadline, func(t *testing.T) {
			is := is.New(t)
			headers := testHeaders()
			r := &Request{Arrived: boottime.Now(), Header: http.Header{}, Route: &routing.Route{Timeout: test.timeout}}
			r.Header.Set(headers.Deadline, test.deadline)
			f := setDeadline{headers: &headers}
			err := f.serve(t.Context(), r, func(context.Context, *Request) error { return nil })
			is.NoErr(err)
			is.Equal(r.Deadline.Sub(r.Arrived), test.want)
		})
	}
}
