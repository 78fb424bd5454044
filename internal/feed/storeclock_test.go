package feed

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
)

// An update that arrives late must not set the store's clock back: a roll-out was completed after its
// time if the last update before had taken half a second.
func TestLateUpdateDoesNotSetTheStoresClockBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := NewWatcher("status", nil, nil, Options{}, zerolog.Nop())
		w.Offer(Update{Clock: time.Hour}, boottime.Now())
		time.Sleep(time.Second)
		w.Offer(Update{Clock: time.Hour + time.Second/2}, boottime.Now())
		is.True(w.StoreClock() > time.Hour+time.Second-time.Millisecond)
	})
}

// A restored store may have a clock that is behind the former one. The former readings expire.
func TestReadingsOfTheStoresClockExpire(t *testing.T) {
	is := is.New(t)
	var c storeClock
	c.record(time.Hour, 0)
	at := time.Second
	for ; at < 3*clockWindow; at += time.Second {
		c.record(at, at)
	}
	is.Equal(c.offset(), time.Duration(0))
	c.record(5*clockWindow+at+time.Minute, 5*clockWindow+at) // after a long outage
	is.Equal(c.offset(), time.Minute)
}
