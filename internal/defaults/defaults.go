// Package defaults sets the fields of options that a caller left out.
//
// The packages with options use it. It can't tell a field that was left out from
// one that was set to zero; where zero means something of its own, it is the
// wrong package.
package defaults

// Number is what durations, sizes, counts and rates are made of.
type Number interface {
	~int | ~int64 | ~float64
}

// Positive sets the field to the fallback unless it is above zero.
func Positive[T Number](field *T, fallback T) {
	if *field <= 0 {
		*field = fallback
	}
}
