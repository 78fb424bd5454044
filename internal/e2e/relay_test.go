package e2e

import (
	"testing"

	tcprelay "github.com/quetzalweir/quetzalweir/internal/standin/relay"
)

// relay is a TCP relay that is closed when its test ends.
type relay struct{ inner *tcprelay.Relay }

// newRelay starts a relay that listens on the IP and forwards to the target.
func newRelay(t *testing.T, ip, target string) *relay {
	t.Helper()
	inner, err := tcprelay.Listen(ip, target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	return &relay{inner}
}

func (r *relay) address() string                    { return r.inner.Address() }
func (r *relay) setTarget(address string)           { r.inner.SetTarget(address) }
func (r *relay) cutFrom(match func(ip string) bool) { r.inner.CutFrom(match) }
func (r *relay) cutAll()                            { r.inner.CutAll() }
func (r *relay) setRate(bytesPerSecond int)         { r.inner.SetRate(bytesPerSecond) }
func (r *relay) heal()                              { r.inner.ClearFaults() }
