package simulate_test

import (
	"os"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// Three runs of a server that answers one request after the other.
func Example() {
	runs := simulate.Seeds(3, func(seed int) float64 {
		queue := simulate.New()
		answered := 0.0
		queue.Every(time.Duration(seed+1)*time.Second, func() bool {
			answered++
			return true
		})
		queue.Run(time.Minute)
		return answered
	})
	tables := simulate.NewTables(os.Stdout)
	tables.Head(1, "server", "answers")
	tables.Row("one at a time", simulate.Spread(runs))
	// Output:
	// | server | answers |
	// |---|---:|
	// | one at a time | 37 (20 to 60) |
}
