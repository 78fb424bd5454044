package quota

const (
	// demandHeadroom is the ratio of a host's target holding to the slots whose
	// rate equals its demand.
	demandHeadroom = 1.5
	// scarceHeadroom is the ratio used in place of demandHeadroom while other
	// hosts are short of slots.
	scarceHeadroom = 1.2
	// hysteresisDivisor determines which changes of a holding are committed:
	// those by more than the holding divided by it.
	hysteresisDivisor = 4
	// scarceHysteresisDivisor is the divisor used in place of hysteresisDivisor
	// while other hosts are short of slots.
	scarceHysteresisDivisor = 16
)

// decisionInput is the state from which a host decides on its holding of an
// account.
type decisionInput struct {
	demandStats
	// held is the host's number of slots according to the row; free is the
	// number of slots that no host holds.
	held, free int
	// hosts is the number of hosts with a lease, including this one.
	hosts int
	// othersShortage is the number of slots that other hosts are short of.
	// othersEntitled is the part of these slots that the hosts need to reach
	// the fair share.
	othersShortage, othersEntitled int
	// othersExcess is the number of slots that other hosts hold above the fair
	// share, summed over these hosts.
	othersExcess int
}

// decision is the holding that a host commits.
type decision struct {
	slots int
	// shortage is the number of slots that the host is short of. Other hosts
	// give up slots for it that they don't need, or that they hold above the
	// fair share.
	shortage int
}

// decide returns the new holding; it is a pure function. A host keeps a reserve,
// so that a first request needn't wait for the table, takes free slots to meet
// its demand, and gives back slots that it doesn't need. If slots are scarce,
// the division is max-min fair: hosts give up slots that they don't need, and
// those that hold more than the fair share give up, in proportion to their
// excess over it, what others need to reach it.
func decide(in decisionInput) decision {
	fair := in.fairShare()
	target := in.target(fair)
	owed := in.owedToOthers(fair)
	if owed == 0 && target > in.held && (in.refused || in.differsEnough(target)) {
		slots := in.held + min(target-in.held, in.takeable(fair))
		return decision{slots: slots, shortage: in.shortage(slots)}
	}
	slots := in.held - max(owed, in.surplus())
	if in.differsEnough(target) {
		slots = min(slots, target)
	}
	slots = max(slots, in.lentSlots)
	return decision{slots: slots, shortage: in.shortage(slots)}
}

// differsEnough reports whether a target differs enough from the holding to be
// committed.
func (in decisionInput) differsEnough(target int) bool {
	difference := target - in.held
	return max(difference, -difference) > in.held/hysteresisDivisor
}

// target returns the holding that meets the host's demand, ignoring scarcity.
func (in decisionInput) target(fair int) int {
	target := max(in.reserve(fair), int(demandHeadroom*in.demandSlots))
	if in.refused {
		target = max(target, in.held+in.held/hysteresisDivisor, in.minSlots)
	}
	return min(target, Slots)
}

// reserve returns the number of slots that the host holds without demand: half
// the fair share, or the minimum for one request if that is more. It is 0 if
// the fair share is below that minimum.
func (in decisionInput) reserve(fair int) int {
	if fair < in.minSlots {
		return 0
	}
	return max(fair/2, in.minSlots)
}

// fairShare returns each host's equal share of the slots.
func (in decisionInput) fairShare() int { return Slots / max(1, in.hosts) }

// need returns the number of slots that the host needs for its demand while
// others are short. It needn't give up any of them unless it holds more than the
// fair share.
func (in decisionInput) need() int {
	return max(int(scarceHeadroom*in.demandSlots), in.minSlots)
}

// takeable returns the number of free slots that the host may take. It may take
// free slots that other hosts need until it reaches its own need or the fair
// share, whichever is lower. Beyond that, it may take only free slots that
// exceed the shortage of the other hosts.
func (in decisionInput) takeable(fair int) int {
	untilNeed := max(0, min(fair, in.need())-in.held)
	return min(in.free, max(untilNeed, in.free-in.othersShortage))
}

// shortage returns the number of slots that the host would be short of if it held
// the given number.
func (in decisionInput) shortage(slots int) int {
	if !in.refused {
		return 0
	}
	missing := min(in.need(), Slots) - slots
	if missing <= slots/hysteresisDivisor {
		return 0
	}
	return missing
}

// surplus returns the number of slots that the host holds beyond its need, but
// at most the number by which the shortage of other hosts exceeds the free
// slots. It returns 0 if the number is too small a change to commit.
func (in decisionInput) surplus() int {
	unneeded := min(in.othersShortage-in.free, in.held-in.need())
	if unneeded <= in.held/scarceHysteresisDivisor {
		return 0
	}
	return unneeded
}

// owedToOthers returns how many of the slots that others need to reach the fair
// share this host gives up, in proportion to its own excess over it.
func (in decisionInput) owedToOthers(fair int) int {
	missing := in.othersEntitled - in.free
	excess := in.held - fair
	if missing <= 0 || excess <= 0 {
		return 0
	}
	total := excess + in.othersExcess
	return min(excess, (missing*excess+total-1)/total)
}
