package rollout_test

import (
	"fmt"

	"github.com/quetzalweir/quetzalweir/rollout"
)

func Example() {
	rules := []rollout.VersionRule{{
		Model:        "quotes",
		Version:      "2",
		Round:        7,
		Budget:       1000,
		MaxErrorRate: 0.02,
	}}
	hostA := rollout.New(rollout.Options{Host: "a"})
	hostB := rollout.New(rollout.Options{Host: "b"})
	for _, host := range []*rollout.Tracker{hostA, hostB} {
		host.SetHosts(2)
		host.SetVersions(rules)
	}
	for hostA.Take("quotes", "2") {
		hostA.Observe("quotes", "2", rollout.Outcome{Failed: true})
	}
	for _, stop := range hostA.Stops() {
		hostB.AdoptStop(stop)
	}
	stop, _ := hostB.Stopped("quotes", "2")
	fmt.Println(stop.Reason, stop.Summary.Errors, hostB.Take("quotes", "2"))
	// Output: errors 2 false
}
