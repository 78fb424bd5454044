package ratelease

import "time"

// Limit is the rate that an overloaded upstream accepts from all hosts together, in requests a
// second.
type Limit float64

const (
	// limitWindow is the window over which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// At most limitOverrun*limit*limitWindow + limitSpare requests may reach an upstream in any
	// limitWindow.
	limitOverrun = 1.5
	limitSpare   = 5
	// probeRate is the rate, in requests a second, at which hosts still send requests to an
	// upstream with a lower limit, since only a response shows that the limit has ended.
	probeRate = 0.25
	// minPartRate is the minimum rate of a part, in requests a second.
	minPartRate = 0.5
	// maxLimitParts is the maximum number of parts that a root's requests for an upstream with a
	// limit are split into.
	maxLimitParts = 16
	// unlimitedRate is a rate that no upstream reaches, in requests a second.
	unlimitedRate = 1000
)

// Binds reports whether the limit is low enough to restrict any upstream.
func (l Limit) Binds() bool { return l < unlimitedRate }

// Permitted returns how many requests may reach the upstream in any limitWindow.
func (l Limit) Permitted() float64 {
	return limitOverrun*limitWindow.Seconds()*float64(l) + limitSpare
}

// burst returns how many requests may be sent at once in addition to those at the limit's rate.
func (l Limit) burst() float64 {
	return allocatedFraction * (l.Permitted() - limitWindow.Seconds()*float64(l))
}

// Parts returns the number of parts that a root splits a limit into. A part is usable only if
// its burst is at least one request.
func (l Limit) Parts(roots int) int {
	perRoot := min(float64(l)/minPartRate, l.burst()) / float64(max(1, roots))
	return min(maxLimitParts, max(1, int(perRoot)))
}

// Allowance returns the rate and the burst at which the holder of a share may send requests.
func (l Limit) Allowance(s Share) Allowance {
	part := s.Fraction()
	return Allowance{Rate: part * max(probeRate, float64(l)), Burst: part * l.burst(), Since: s.Since}
}

// IsolatedAllowance returns the allowance of an isolated host for an upstream with a limit. If
// all of the given number of hosts are isolated, together they send the upstream requests at
// probeRate, so that they learn when its limit ends. The phase, a number in [0, 1) that differs
// between hosts, spreads their requests over time.
func IsolatedAllowance(hosts int, phase float64, since time.Time) Allowance {
	rate := probeRate / float64(max(1, hosts))
	delay := time.Duration(phase / rate * float64(time.Second))
	return Allowance{Rate: rate, Burst: 1, Since: since.Add(delay)}
}

// Allowance is a rate, in requests a second, and a burst: the number of requests that may be sent
// at once after a pause. It applies from Since on.
type Allowance struct {
	Rate  float64
	Burst float64
	Since time.Time
}

// Bucket is a token bucket whose allowance may change. The zero value is empty.
type Bucket struct {
	tokens    float64
	updatedAt time.Time
	// allowanceSince is the Since of the current allowance.
	allowanceSince time.Time
}

// Allows reports whether a request may be sent.
func (b *Bucket) Allows(a Allowance, now time.Time) bool {
	b.refill(a, now)
	return b.tokens >= 1
}

// Take counts a sent request.
func (b *Bucket) Take() { b.tokens-- }

// TimeToNext returns the time until a request may be sent; ok is false if the allowance never
// permits one.
func (b *Bucket) TimeToNext(a Allowance, now time.Time) (wait time.Duration, ok bool) {
	b.refill(a, now)
	switch {
	case b.tokens >= 1:
		return 0, true
	case a.Rate <= 0 || a.Burst < 1:
		return 0, false
	}
	return time.Duration((1 - b.tokens) / a.Rate * float64(time.Second)), true
}

// refill adds the tokens for the time since the last call. A new allowance starts with an empty
// bucket, but a deficit left by the previous one remains.
func (b *Bucket) refill(a Allowance, now time.Time) {
	if !a.Since.Equal(b.allowanceSince) {
		b.tokens, b.updatedAt, b.allowanceSince = min(0, b.tokens), a.Since, a.Since
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens += a.Rate * elapsed.Seconds()
		b.updatedAt = now
	}
	b.tokens = min(a.Burst, b.tokens)
}
