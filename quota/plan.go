package quota

const (
	// headroom is how much more than its demand a host holds, as a factor.
	headroom = 1.5
	// tightHeadroom is the same where others are short.
	tightHeadroom = 1.2
	// hysteresis is the part of a holding below which a change isn't worth a
	// commit.
	hysteresis = 4
	// fineHysteresis is the same where others are short.
	fineHysteresis = 16
)

// view is what a host knows when it decides on its holding of an account.
type view struct {
	needs
	// held is the present holding by the row, free what nobody holds.
	held, free int
	// hosts is the number of hosts with a lease, this one among them.
	hosts int
	// wanted is what other hosts are short of, entitled the part of it that
	// doesn't bring them over the fair part.
	wanted, entitled int
	// excess is what other hosts hold over the fair part.
	excess int
}

// decision is the holding that a host goes for.
type decision struct {
	slots int
	// wants is how much the host is short of, which others have to give up as
	// far as they hold more than the fair part.
	wants int
}

// decide is the policy, a pure function. A host keeps a standing part, so that
// a first request needn't wait for the table; takes what its demand needs
// while slots are free; gives back what it has too much of. If slots are
// scarce, division is max-min fair: hosts give up what they don't need, and
// those that hold more than the fair part give up, in proportion, what others
// need to come up to it.
func decide(v view) decision {
	fair := v.fair()
	target := v.target(fair)
	part := v.entitledPart(fair)
	if part == 0 && target > v.held && (v.refused || v.worthIt(target)) {
		slots := v.held + min(target-v.held, v.available(fair))
		return decision{slots: slots, wants: v.claim(slots)}
	}
	slots := v.held - max(part, v.spare())
	if v.worthIt(target) {
		slots = min(slots, target)
	}
	slots = max(slots, v.lent)
	return decision{slots: slots, wants: v.claim(slots)}
}

// worthIt reports whether a target differs enough from the holding.
func (v view) worthIt(target int) bool {
	difference := target - v.held
	return max(difference, -difference) > v.held/hysteresis
}

// target is the holding that the host would like.
func (v view) target(fair int) int {
	target := max(v.standing(fair), int(headroom*v.slots))
	if v.refused {
		target = max(target, v.held+v.held/hysteresis, v.least)
	}
	return min(target, Slots)
}

// standing is held without demand: half the fair part, if that lets a request
// through, else the least that does, if there is enough for all hosts.
func (v view) standing(fair int) int {
	if fair < v.least {
		return 0
	}
	return max(fair/2, v.least)
}

// fair is each host's equal part.
func (v view) fair() int { return Slots / max(1, v.hosts) }

// need is held as long as the fair part allows it, though others be short.
func (v view) need() int {
	return max(int(tightHeadroom*v.slots), v.least)
}

// available is what the host may take of the free slots: its need up to the
// fair part, beyond it only what others aren't short of.
func (v view) available(fair int) int {
	own := max(0, min(fair, v.need())-v.held)
	return min(v.free, max(own, v.free-v.wanted))
}

// claim is what the host is short of with a number of slots.
func (v view) claim(slots int) int {
	if !v.refused {
		return 0
	}
	missing := min(v.need(), Slots) - slots
	if missing <= slots/hysteresis {
		return 0
	}
	return missing
}

// spare is what the host holds beyond its need, as far as others are short.
func (v view) spare() int {
	spare := min(v.wanted-v.free, v.held-v.need())
	if spare <= v.held/fineHysteresis {
		return 0
	}
	return spare
}

// entitledPart is the host's part of what others need to come up to the fair
// part, by how much it holds over that itself.
func (v view) entitledPart(fair int) int {
	missing := v.entitled - v.free
	excess := v.held - fair
	if missing <= 0 || excess <= 0 {
		return 0
	}
	total := excess + v.excess
	return min(excess, (missing*excess+total-1)/total)
}
