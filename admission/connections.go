package admission

import "time"

const (
	// maxSchedulingLag is the lag of the process's timers from which on new connections are rejected.
	// Requests that were read by then still end in time.
	maxSchedulingLag = 300 * time.Millisecond
	// surgeFactor and minSurge are how many times the usual number of connections a second, and how many
	// at least, are a surge. A lag for another reason, such as a pause of the process, doesn't lead to
	// rejections.
	surgeFactor = 2
	minSurge    = 20
	// usualConnectionsGain is the weight of the last second in the usual number of connections a second.
	usualConnectionsGain = 0.05
	// rejectingRetention is how long after its last rejection a host counts as rejecting connections.
	rejectingRetention = time.Second
)

// ConnectionFilter decides which new connections a host accepts. A load balancer may hand one host most new
// connections of all callers, more than it can process. A request that was read must be served, so the host
// rejects connections before it reads from them: their callers find other hosts. It isn't safe for
// concurrent use.
type ConnectionFilter struct {
	lag time.Duration
	// secondStart is the start of the current second, in which there were count connections. last is the
	// number in the second before, usual the decayed mean of earlier ones.
	secondStart time.Time
	count, last int
	usual       float64
	rejectedAt  time.Time
}

// SetLag sets the lag of the process's timers.
func (f *ConnectionFilter) SetLag(lag time.Duration) { f.lag = lag }

// Accept reports whether the host accepts a new connection.
func (f *ConnectionFilter) Accept(now time.Time) bool {
	f.advance(now)
	f.count++
	surge := max(f.count, f.last)
	if f.lag < maxSchedulingLag || surge < minSurge || float64(surge) < surgeFactor*f.usual {
		return true
	}
	f.rejectedAt = now
	return false
}

// Rejecting reports whether the host rejected a connection a moment ago. It should then report that it
// accepts no new connections.
func (f *ConnectionFilter) Rejecting(now time.Time) bool {
	return !f.rejectedAt.IsZero() && now.Sub(f.rejectedAt) < rejectingRetention
}

// advance begins a new second if the current one is over. A surge doesn't change what is usual.
func (f *ConnectionFilter) advance(now time.Time) {
	elapsed := now.Sub(f.secondStart)
	if elapsed < time.Second {
		return
	}
	if elapsed >= 2*time.Second {
		f.last = 0
	} else {
		f.last = f.count
	}
	if !f.Rejecting(now) {
		f.usual += usualConnectionsGain * (float64(f.last) - f.usual)
	}
	f.secondStart, f.count = now, 0
}
