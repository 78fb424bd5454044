package quota

// headroom is how much more than the demand a host holds, as a factor.
const headroom = 1.5

// view is what a host knows when it decides on its holding of an account.
type view struct {
	needs
	// held is the present holding by the row, free what nobody holds.
	held, free int
	// hosts is the number of hosts with a lease, this one among them.
	hosts int
	// othersWant says that another host is short of its fair part.
	othersWant bool
}

// decision is the holding that a host goes for.
type decision struct {
	slots int
	// wants says that the host is short of its fair part and asks others to
	// give way.
	wants bool
}

// decide is the policy, a pure function. A host keeps a standing part, so that
// a first request needn't wait for the table; takes what its demand needs
// while slots are free; gives back what it has too much of; and gives way down
// to the fair part when another host is short of its own.
func decide(v view) decision {
	fair := Slots / max(1, v.hosts)
	target := v.target(fair)
	if v.othersWant {
		target = min(target, max(fair, v.standing(fair)))
	}
	if target > v.held {
		slots := v.held + min(target-v.held, v.free)
		short := slots < min(target, fair)
		return decision{slots: slots, wants: short && v.refused}
	}
	if v.othersWant || v.held-target > v.held/4 {
		return decision{slots: max(target, v.lent)}
	}
	return decision{slots: v.held}
}

// target is the holding that the host would like.
func (v view) target(fair int) int {
	target := max(v.standing(fair), int(headroom*v.slots))
	if v.refused {
		target = max(target, fair, v.held+v.held/2, v.least)
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
