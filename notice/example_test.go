package notice_test

import (
	"fmt"
	"net/http"

	"github.com/quetzalweir/quetzalweir/notice"
)

// An answer is complete and states that its upstream is leaving, so that the next request has to
// go to another upstream.
func Example() {
	header := http.Header{"X-Leaving": {"1"}}
	fmt.Println(notice.Read(header, notice.Headers{Leaving: "X-Leaving"}).Leaving)
	// Output: true
}
