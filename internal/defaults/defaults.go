// Package defaults sets option fields that weren't set to their default values.
//
// It can't distinguish a field that wasn't set from one that was set to zero, so
// it doesn't suit options for which zero has a meaning.
package defaults

// Number is the constraint for durations, sizes, counts and rates.
type Number interface {
	~int | ~int64 | ~float64
}

// Positive sets the field to the fallback if it is zero or negative.
func Positive[T Number](field *T, fallback T) {
	if *field <= 0 {
		*field = fallback
	}
}
