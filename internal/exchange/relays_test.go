package exchange

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// A hub must name only hosts that reach upstreams, never the asking host, and strong hosts more often
// than weak ones, which can't carry as many connections.
func TestHubNamesRelaysByStrength(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "hub", Zone: "z1"}, zerolog.Nop())
	strong, weak := RelayHost{"10.0.0.1:1", "z1"}, RelayHost{"10.0.0.2:1", "z1"}
	h.record("strong", Report{Address: strong.Address, Zone: "z1", RelaysConns: true, Strength: 1000})
	h.record("weak", Report{Address: weak.Address, Zone: "z1", RelaysConns: true, Strength: 2})
	h.record("cut", Report{Address: "10.0.0.3:1", Zone: "z1", Strength: 1000})
	h.record("asks", Report{Address: "10.0.0.4:1", Zone: "z1", RelaysConns: true, Strength: 1000})
	strongFirst := 0
	for range 200 {
		list := h.namedRelayHosts("asks", toHost)
		is.Equal(len(list), 2)
		is.True(slices.Contains(list, strong) && slices.Contains(list, weak))
		if list[0] == strong {
			strongFirst++
		}
	}
	is.True(strongFirst > 180)
}

// If all hosts of a zone lose the upstreams, their hub has to name hosts that report elsewhere. They
// aren't passed on to other hubs, since they may be old by then.
func TestHubNamesRelaysOfOtherHubs(t *testing.T) {
	is := is.New(t)
	h := newHub(Options{Host: "hub", Zone: "z1"}, zerolog.Nop())
	h.record("cut", Report{Address: "10.0.0.3:1", Zone: "z1"})
	elsewhere := RelayHost{"10.1.0.1:1", "z2"}
	h.recordRelayHostsElsewhere([]RelayHost{elsewhere, elsewhere})
	is.Equal(h.namedRelayHosts("cut", toHost), []RelayHost{elsewhere})
	is.Equal(len(h.namedRelayHosts("seed", toHub)), 0)
	for i := range 100 {
		h.recordRelayHostsElsewhere([]RelayHost{{fmt.Sprint("10.1.1.", i, ":1"), "z2"}})
		h.record(fmt.Sprint("f-", i), Report{Address: fmt.Sprint("10.2.0.", i, ":1"), Zone: "z1", RelaysConns: true})
	}
	is.Equal(len(h.relayHostsElsewhere), maxKnownRelayHosts)
	is.Equal(len(h.namedRelayHosts("cut", toHost)), maxNamedRelayHosts)
}
