//go:build race

package e2e

import "time"

// buildFlags enables the race detector in the binary if the test has it.
var buildFlags = []string{"-race"}

// documentApplyTime is the time within which a confirmed document must be in force on a host that
// is in touch, the value of config_apply_ms in the gateways' settings. With the
// race detector a host needs several times as long to decode a document.
const documentApplyTime = 3 * time.Second

// checksMemory is set if the memory of the processes is what it is outside of tests. Under the race
// detector, a process takes several times as much.
const checksMemory = false
