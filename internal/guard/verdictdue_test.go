package guard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

// Requests that had begun were refused further attempts because of a part that all requests have in common: upstreams that
// terminated one after the other all had it. Such a part gets no verdict, so that none is due.
func TestNoVerdictIsDueOnAPartOfAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGuard("h", memory.NewTable())
		part := quarantine.PartDigest("system prompt")
		lose := func(from, to uint64) {
			for i := from; i < to; i++ {
				time.Sleep(time.Second)
				for _, d := range []quarantine.Digest{digest(i), part} {
					g.tracker.RecordLoss(quarantine.Loss{Digest: d, Incarnation: quarantine.Incarnation(i + 1), At: boottime.Elapsed(), Ran: time.Second})
				}
			}
		}
		lose(0, 6)
		g.makeVerdicts()
		is.Equal(g.VerdictCount(), 0)
		is.True(!g.VerdictDue(digest(50), part))
		is.True(!g.IsQuarantined(digest(50), part))
		// Once requests without the part are answered, the same losses tell it from them.
		for i := range 20 {
			g.tracker.RecordSurvival(quarantine.PartDigest(fmt.Sprint("other-", i)), boottime.Elapsed())
		}
		is.True(g.VerdictDue(digest(50), part))
	})
}
