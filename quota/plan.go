package quota

const (
	// demandHeadroom is the factor of a host's target holding over its demand.
	demandHeadroom = 1.5
	// scarceHeadroom is the same factor while other hosts are short of slots.
	scarceHeadroom = 1.2
	// hysteresisDivisor gives the smallest change that is committed, as the
	// holding divided by it.
	hysteresisDivisor = 4
	// scarceHysteresisDivisor is the same divisor while other hosts are short
	// of slots.
	scarceHysteresisDivisor = 16
)

// decisionInput is the state from which a host decides on its holding of an
// account.
type decisionInput struct {
	demandStats
	// held is the host's number of slots according to the row, free the number
	// that no host holds.
	held, free int
	// hosts is the number of hosts with a lease, including this one.
	hosts int
	// othersShortage is the number of slots that other hosts are short of,
	// othersEntitled the part of it up to their fair share.
	othersShortage, othersEntitled int
	// othersExcess is the number of slots that other hosts hold above their
	// fair share.
	othersExcess int
}

// decision is the holding that a host commits.
type decision struct {
	slots int
	// shortage is the number of slots that the host is short of. Others give
	// them up as far as they hold more than the fair share.
	shortage int
}

// decide returns the new holding; it is a pure function. A host keeps a reserve,
// so that a first request needn't wait for the table, takes free slots to meet
// its demand, and gives back slots that it doesn't need. If slots are scarce,
// the division is max-min fair: hosts give up what they don't need, and those
// that hold more than the fair share give up, in proportion, what others need
// to reach it.
func decide(v decisionInput) decision {
	fair := v.fairShare()
	target := v.target(fair)
	part := v.owedToOthers(fair)
	if part == 0 && target > v.held && (v.refused || v.differsEnough(target)) {
		slots := v.held + min(target-v.held, v.takeable(fair))
		return decision{slots: slots, shortage: v.shortage(slots)}
	}
	slots := v.held - max(part, v.surplus())
	if v.differsEnough(target) {
		slots = min(slots, target)
	}
	slots = max(slots, v.lentSlots)
	return decision{slots: slots, shortage: v.shortage(slots)}
}

// differsEnough reports whether a target differs enough from the holding to be
// committed.
func (v decisionInput) differsEnough(target int) bool {
	difference := target - v.held
	return max(difference, -difference) > v.held/hysteresisDivisor
}

// target returns the holding that meets the host's demand, ignoring scarcity.
func (v decisionInput) target(fair int) int {
	target := max(v.reserve(fair), int(demandHeadroom*v.demandSlots))
	if v.refused {
		target = max(target, v.held+v.held/hysteresisDivisor, v.minSlots)
	}
	return min(target, Slots)
}

// reserve returns the number of slots that the host holds without demand: half
// the fair share, or the minimum for one request if that is more. It is 0 if
// the fair share is below that minimum.
func (v decisionInput) reserve(fair int) int {
	if fair < v.minSlots {
		return 0
	}
	return max(fair/2, v.minSlots)
}

// fairShare returns each host's equal share of the slots.
func (v decisionInput) fairShare() int { return Slots / max(1, v.hosts) }

// need returns the number of slots that the host keeps, up to the fair share,
// even while others are short.
func (v decisionInput) need() int {
	return max(int(scarceHeadroom*v.demandSlots), v.minSlots)
}

// takeable returns the number of free slots that the host may take: its need up
// to the fair share, and beyond it only what others aren't short of.
func (v decisionInput) takeable(fair int) int {
	own := max(0, min(fair, v.need())-v.held)
	return min(v.free, max(own, v.free-v.othersShortage))
}

// shortage returns the number of slots that the host is short of if it holds
// slots.
func (v decisionInput) shortage(slots int) int {
	if !v.refused {
		return 0
	}
	missing := min(v.need(), Slots) - slots
	if missing <= slots/hysteresisDivisor {
		return 0
	}
	return missing
}

// surplus returns the number of slots that the host holds beyond its need, up
// to what others are short of beyond the free slots.
func (v decisionInput) surplus() int {
	spare := min(v.othersShortage-v.free, v.held-v.need())
	if spare <= v.held/scarceHysteresisDivisor {
		return 0
	}
	return spare
}

// owedToOthers returns the host's part of the slots that others need to reach
// the fair share, in proportion to its own excess over it.
func (v decisionInput) owedToOthers(fair int) int {
	missing := v.othersEntitled - v.free
	excess := v.held - fair
	if missing <= 0 || excess <= 0 {
		return 0
	}
	total := excess + v.othersExcess
	return min(excess, (missing*excess+total-1)/total)
}
