package quarantine_test

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/quarantine"
)

// A poison request is lost with three upstreams, each time together with sound requests. One of
// the sound requests, b, ran at two of the upstreams; it isn't the cause and gets no verdict.
func Example() {
	name := func(body string) quarantine.Digest {
		content := quarantine.Content{Method: "POST", Target: "/reports", Account: "acme", Body: []byte(body)}
		return content.Digest()
	}
	tracker := quarantine.NewTracker()
	for upstream, bodies := range [][]string{{"fatal", "a", "b"}, {"fatal", "b"}, {"fatal", "c"}} {
		at := time.Duration(upstream) * time.Second
		for _, body := range bodies {
			tracker.RecordLoss(quarantine.Loss{Digest: name(body), Incarnation: quarantine.Incarnation(upstream), At: at})
		}
	}
	for _, finding := range tracker.FindPoisonRequests(2*time.Second + quarantine.SettleDelay) {
		fmt.Println(finding.Digest == name("fatal"), finding.Events, "events")
	}
	fmt.Println("b at", tracker.EventCount(name("b"), 3*time.Second))
	// Output:
	// true 3 events
	// b at 0
}
