package defaults_test

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/defaults"
)

func ExamplePositive() {
	options := struct {
		Timeout time.Duration
		Retries int
	}{Retries: 7}
	defaults.Positive(&options.Timeout, time.Second)
	defaults.Positive(&options.Retries, 3)
	fmt.Println(options.Timeout, options.Retries)
	// Output: 1s 7
}
