package e2e

import (
	"testing"

	tcprelay "github.com/quetzalweir/quetzalweir/internal/standin/relay"
)

// relay is a relay that ends with its test.
type relay struct{ inner *tcprelay.Relay }

// newRelay starts a relay on the IP.
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
func (r *relay) heal()                              { r.inner.Heal() }
