//go:build !race

package e2e

import "time"

var buildFlags []string

// documentApplyTime is the time within which a confirmed document must be in force on a host that
// is in touch, the value of config_apply_ms in the gateways' settings.
const documentApplyTime = 2 * time.Second
