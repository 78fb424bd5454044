package ratelease

import (
	"strconv"
	"strings"
)

// ParseLimit reads the limits that an answer names, in requests a second. Of several the
// lowest holds. ok is false if none is a decimal number.
func ParseLimit(values []string) (limit Limit, ok bool) {
	for _, value := range values {
		value = strings.TrimSpace(value)
		if strings.Trim(value, "0123456789.") != "" {
			continue // a sign, an exponent or a unit
		}
		// A number out of range is read as infinite.
		named, _ := strconv.ParseFloat(value, 64)
		if strings.ContainsAny(value, "0123456789") && strings.Count(value, ".") <= 1 && (!ok || Limit(named) < limit) {
			limit, ok = Limit(named), true
		}
	}
	return limit, ok
}
