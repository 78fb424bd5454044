package membership

import (
	"cmp"
	"fmt"
)

// State is the state of a host as determined by failure detection. Within one
// incarnation a higher state overrides a lower one.
type State uint8

// The states in their order of precedence.
const (
	// Up means that the host answers probes.
	Up State = iota + 1
	// Leaving means that the host answers probes and has announced that it is
	// finishing its work.
	Leaving
	// Suspect means that the host answered neither direct nor indirect probes.
	Suspect
	// Down means that the host was Suspect for the suspicion timeout, or that it
	// was Leaving and stopped answering.
	Down
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Up:
		return "up"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Down:
		return "down"
	default:
		return fmt.Sprintf("state %d", uint8(s))
	}
}

// Member describes a host to the other hosts.
type Member struct {
	ID   string `json:"i"`
	Zone string `json:"z"`
	// PeerAddr, CallerAddr and OperatorAddr are the IP addresses with ports for
	// other entry hosts, callers and operators.
	PeerAddr     string `json:"p,omitempty"`
	CallerAddr   string `json:"c,omitempty"`
	OperatorAddr string `json:"o,omitempty"`
	State        State  `json:"s"`
	// Incarnation is increased only by the member itself: at its start, when it
	// leaves, after a pause of its process, and to refute a state that other
	// hosts have given it.
	Incarnation uint64 `json:"n"`
}

const (
	// maxFieldBytes is the maximum size of an id, zone or address.
	maxFieldBytes = 64
	// maxIncarnation keeps versions within the range that JSON numbers represent
	// exactly in any language. A process starts with the time in Unix
	// milliseconds as its incarnation, which reaches the maximum after about
	// 35,000 years.
	maxIncarnation = 1 << 50
	// maxMembers is the maximum number of members that a host stores, including
	// those that are Down: many times the design size.
	maxMembers = 8192
)

// valid reports whether the fields are within their limits.
func (m Member) valid() bool {
	for _, field := range []string{m.ID, m.Zone, m.PeerAddr, m.CallerAddr, m.OperatorAddr} {
		if len(field) > maxFieldBytes {
			return false
		}
	}
	return m.ID != "" && m.State >= Up && m.State <= Down && m.Incarnation < maxIncarnation
}

// stateBits is the number of bits of the state in a member's version.
const stateBits = 3

// version returns the version of the member's record. Versions order records by
// incarnation first, then by state.
func (m Member) version() uint64 {
	return m.Incarnation<<stateBits | uint64(m.State)
}

// alive reports whether the member is probed and receives updates.
func (m Member) alive() bool { return m.State != Down }

func compareID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// Event is a change of a member's state.
type Event struct {
	Member Member
	// Previous is the previous state. It is zero for a new member.
	Previous State
}
