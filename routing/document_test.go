package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
)

// A wrong unit of the transfer time would make fetching cached prompts look a thousand times
// cheaper or dearer than their prefill.
func TestTransferTime(t *testing.T) {
	is := is.New(t)
	spec := routing.EngineSpec{BytesPerToken: 163840, LinkMbps: 2_200_000}
	d, ok := spec.TransferTime(6300)
	is.True(ok)
	is.Equal(d.Round(100*time.Microsecond), 3800*time.Microsecond)
	for _, unknown := range []routing.EngineSpec{{}, {BytesPerToken: 1}, {LinkMbps: 1}} {
		_, ok = unknown.TransferTime(6300)
		is.True(!ok)
	}
}
