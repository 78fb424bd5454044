package ledger

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func TestCopyStore(t *testing.T) {
	is := is.New(t)
	c := NewCopyStore(New(Options{Table: memory.NewTable(), Objects: memory.NewObjects(), Host: "h1"}), CopyStoreOptions{MaxBills: 2})
	one := []Bill{testBill("1")}
	is.NoErr(c.Store("h0/x", 1, one))
	is.NoErr(c.Store("h0/x", 2, one))
	is.True(errors.Is(c.Store("h0/x", 3, one), ErrCopyStoreFull))
	c.Release("h0/x", 4)
	is.Equal(c.Count(), 0)
	is.NoErr(c.Store("h0/x", 4, one)) // arrives after its own release
	is.Equal(c.Count(), 0)
	is.NoErr(c.Store("h0/y", 1, one))
	is.NoErr(c.Store("h00/x", 1, one))
	is.NoErr(c.TakeOver(t.Context(), "h0"))
	is.Equal(c.Count(), 1) // the bill of h00, which isn't an incarnation of h0
}

// TestCopyStorePacks checks that Release and TakeOver treat packed and unpacked
// copies alike.
func TestCopyStorePacks(t *testing.T) {
	const bills = 3*packThreshold + 10
	for _, released := range []int{0, 1, packThreshold, packThreshold + 1, bills - 1, bills} {
		t.Run(fmt.Sprint(released), func(t *testing.T) {
			is := is.New(t)
			table, objects := memory.NewTable(), memory.NewObjects()
			c := NewCopyStore(New(Options{Table: table, Objects: objects, Host: "h1"}), CopyStoreOptions{})
			for i := range bills {
				is.NoErr(c.Store("h0/x", uint64(i+1), []Bill{testBill(fmt.Sprint(i))}))
			}
			c.Release("h0/x", uint64(released))
			is.NoErr(c.Store("h0/x", bills+1, []Bill{testBill("last")}))
			kept := c.Count()
			is.True(kept > bills-released && kept <= bills-released+packThreshold)
			is.NoErr(c.TakeOver(t.Context(), "h0"))
			is.Equal(c.Count(), 0)
			written := make(map[string]bool)
			for b, err := range Read(t.Context(), table, objects, Query{}) {
				is.NoErr(err)
				written[b.RequestID] = true
			}
			is.Equal(len(written), kept)
			for i := released; i < bills; i++ {
				is.True(written[fmt.Sprint(i)])
			}
		})
	}
}
