//go:build !race

package e2e

import "time"

var buildFlags []string

// documentApplyTime is the time within which a confirmed document must be in force on a host that
// is in touch, the value of config_apply_ms in the gateways' settings.
const documentApplyTime = 2 * time.Second

// checksMemory is set if the memory of the processes is what it is outside of tests. Under the race
// detector, a process takes several times as much.
const checksMemory = true
