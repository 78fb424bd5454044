package simulate_test

import (
	"os"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// Simulates a server that answers one request at a time, with three seeds.
func Example() {
	runs := simulate.RunSeeds(3, func(seed int) float64 {
		events := simulate.New()
		answered := 0.0
		events.Every(time.Duration(seed+1)*time.Second, func() bool {
			answered++
			return true
		})
		events.Run(time.Minute)
		return answered
	})
	tables := simulate.NewTables(os.Stdout)
	tables.Header(1, "server", "answers")
	tables.Row("one at a time", simulate.FormatRange(runs))
	// Output:
	// | server | answers |
	// |---|---:|
	// | one at a time | 37 (20 to 60) |
}
