package ratelease

import (
	"strconv"
	"strings"
)

// ParseLimit parses the limits that a response names, in requests a second, and returns the
// lowest. ok is false if none is a decimal number.
func ParseLimit(values []string) (limit Limit, ok bool) {
	for _, value := range values {
		value = strings.TrimSpace(value)
		if strings.Trim(value, "0123456789.") != "" {
			continue // a sign, an exponent or a unit
		}
		// A number out of range is parsed as infinity.
		rate, _ := strconv.ParseFloat(value, 64)
		if strings.ContainsAny(value, "0123456789") && strings.Count(value, ".") <= 1 && (!ok || Limit(rate) < limit) {
			limit, ok = Limit(rate), true
		}
	}
	return limit, ok
}
