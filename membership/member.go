package membership

import (
	"cmp"
	"fmt"
)

// State is what a host is believed to be. Within one incarnation a later
// state overrides an earlier one.
type State uint8

// The states in their order of precedence.
const (
	// Up answers.
	Up State = iota + 1
	// Leaving answers, and has announced that it finishes its work.
	Leaving
	// Suspect hasn't answered, neither directly nor through others.
	Suspect
	// Down was Suspect for the suspicion timeout, or Leaving and then silent.
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

// Member is a host as others know it.
type Member struct {
	ID   string `json:"i"`
	Zone string `json:"z"`
	// PeerAddr, CallerAddr and OperatorAddr are IP addresses with ports, for
	// other entry hosts, callers and operators.
	PeerAddr     string `json:"p,omitempty"`
	CallerAddr   string `json:"c,omitempty"`
	OperatorAddr string `json:"o,omitempty"`
	State        State  `json:"s"`
	// Incarnation is raised by the member alone: at its start, after a freeze,
	// and to refute a state that others believe of it.
	Incarnation uint64 `json:"n"`
}

const (
	// maxField is the longest id, zone or address in bytes.
	maxField = 64
	// maxIncarnation keeps versions within what JSON numbers hold exactly in
	// any language; the clock reaches it in 2 million years.
	maxIncarnation = 1 << 50
	// maxMembers bounds the members that a host knows, those that are Down
	// included: many times the size that the system is made for.
	maxMembers = 8192
)

// valid says that the fields are within their bounds.
func (m Member) valid() bool {
	for _, field := range []string{m.ID, m.Zone, m.PeerAddr, m.CallerAddr, m.OperatorAddr} {
		if len(field) > maxField {
			return false
		}
	}
	return m.ID != "" && m.State >= Up && m.State <= Down && m.Incarnation < maxIncarnation
}

// stateBits is the room for the state in a member's version.
const stateBits = 3

// version orders all that can be said of a member: the incarnation first,
// then the state.
func (m Member) version() uint64 {
	return m.Incarnation<<stateBits | uint64(m.State)
}

// alive says that the member is to be probed and told the news.
func (m Member) alive() bool { return m.State != Down }

func compareID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// Event is a change of a member's state.
type Event struct {
	Member Member
	// Previous is the state before; zero where the member is new.
	Previous State
}
