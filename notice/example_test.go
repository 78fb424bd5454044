package notice_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/quetzalweir/quetzalweir/notice"
)

// An answer is complete and states that its upstream is leaving, so that the next request has to
// go to another upstream.
func Example() {
	header := http.Header{"X-Leaving": {"1"}}
	n := notice.Read(http.StatusOK, header, notice.Headers{Leaving: "X-Leaving", RetryAfter: "Retry-After"})
	fmt.Println(n.Leaving)
	// Output: true
}

// An upstream rejects a request and accepts none for three seconds. After that a single request shows
// whether it accepts requests again.
func ExampleBackoff() {
	header := http.Header{"Retry-After": {"3"}}
	n := notice.Read(http.StatusServiceUnavailable, header, notice.Headers{RetryAfter: "Retry-After"})
	now := time.Now()
	var b notice.Backoff
	b.Extend(n.Backoff, now)
	fmt.Println(b.Allows(now.Add(2*time.Second)), b.Wait(now.Add(2*time.Second)))

	now = now.Add(3 * time.Second)
	fmt.Println(b.Allows(now))
	b.RecordSent(now)
	fmt.Println(b.Allows(now))
	fmt.Println(b.Accepted(now), b.Allows(now))
	// Output:
	// false 1s
	// true
	// false
	// true true
}
