package ratelease

import "time"

// Limit is the rate that an upstream in need takes of all hosts together, in requests a
// second.
type Limit float64

const (
	// limitWindow is the time in which requests count against a limit.
	limitWindow = 4 * time.Second
	// limitOverrun times a limit, and limitSpare requests more, may reach an upstream in
	// any limitWindow.
	limitOverrun = 1.5
	limitSpare   = 5
	// leastRate is the rate at which an upstream is tried that takes less, in requests a
	// second: only an answer tells that its limit is over.
	leastRate = 0.25
	// partRate is the least rate that is worth a part, in requests a second.
	partRate = 0.5
	// maxLimitParts bounds the parts that a root's requests are split in.
	maxLimitParts = 16
	// unlimited is a rate that no upstream reaches, in requests a second.
	unlimited = 1000
)

// Binds says whether any upstream could be sent more.
func (l Limit) Binds() bool { return l < unlimited }

// Permitted is how many requests may reach the upstream in any limitWindow.
func (l Limit) Permitted() float64 {
	return limitOverrun*limitWindow.Seconds()*float64(l) + limitSpare
}

// burst is what may reach the upstream at once of that, beside the limit itself.
func (l Limit) burst() float64 {
	return usedPart * (l.Permitted() - limitWindow.Seconds()*float64(l))
}

// Parts is in how many parts a root splits a limit, so that each can be used: a part needs
// a burst of a request.
func (l Limit) Parts(roots int) int {
	perRoot := min(float64(l)/partRate, l.burst()) / float64(max(1, roots))
	return min(maxLimitParts, max(1, int(perRoot)))
}

// Allowance is what the holder of a share may send.
func (l Limit) Allowance(s Share) Allowance {
	part := s.Part()
	return Allowance{Rate: part * max(leastRate, float64(l)), Burst: part * l.burst(), Since: s.Since}
}

// Lone is what a host may send that no hub answers, of so many hosts: together they try the
// upstream now and then, so that they learn of the limit's end. Draw is of [0, 1) and
// spreads the hosts' tries.
func Lone(hosts int, draw float64, since time.Time) Allowance {
	rate := leastRate / float64(max(1, hosts))
	wait := time.Duration(draw / rate * float64(time.Second))
	return Allowance{Rate: rate, Burst: 1, Since: since.Add(wait)}
}

// Allowance is a rate, in requests a second, and how many requests may come at once after a
// pause. It holds since a time.
type Allowance struct {
	Rate  float64
	Burst float64
	Since time.Time
}

// Bucket counts what is left of an allowance that may change. The zero value is empty.
type Bucket struct {
	tokens float64
	at     time.Time
	// since is the allowance's.
	since time.Time
}

// Room says whether a request may be sent.
func (b *Bucket) Room(a Allowance, now time.Time) bool {
	b.fill(a, now)
	return b.tokens >= 1
}

// Take counts a request that is sent.
func (b *Bucket) Take() { b.tokens-- }

// Wait is the time until a request may be sent; ok is false if none ever may.
func (b *Bucket) Wait(a Allowance, now time.Time) (wait time.Duration, ok bool) {
	b.fill(a, now)
	switch {
	case b.tokens >= 1:
		return 0, true
	case a.Rate <= 0 || a.Burst < 1:
		return 0, false
	}
	return time.Duration((1 - b.tokens) / a.Rate * float64(time.Second)), true
}

// fill adds what came since the last look. An allowance that is newer begins empty: what
// the holder before sent counts still.
func (b *Bucket) fill(a Allowance, now time.Time) {
	if !a.Since.Equal(b.since) {
		b.tokens, b.at, b.since = min(0, b.tokens), a.Since, a.Since
	}
	if span := now.Sub(b.at); span > 0 {
		b.tokens += a.Rate * span.Seconds()
		b.at = now
	}
	b.tokens = min(a.Burst, b.tokens)
}
