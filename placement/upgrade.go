package placement

import "time"

// Upgrade is the question whether a better model is to be asked after a cheaper one has
// answered with some confidence.
type Upgrade struct {
	// Usual is the confidence, 0 to 100, from which the operators pass an answer on.
	Usual float64
	// Expected is the time from the request's arrival to the better model's first event,
	// Target the time within which it is to come; 0 if there is none.
	Expected time.Duration
	Target   time.Duration
	// Pressure is the time that prompts wait for engines, as a part of what reading them
	// takes.
	Pressure float64
}

const (
	// lateFrom is the part of the target from which a first event counts as late:
	// expectations are off by some.
	lateFrom = 0.9
	// lateRequired is the part of the usual confidence that is required where a better
	// answer would be late: a late answer is better than a poor one.
	lateRequired = 0.3
	// latePressure is the pressure from which no late answer is asked for: reading it
	// would make others late.
	latePressure = 0.6
)

// Required is the confidence from which the cheaper model's answer is passed on. It is the
// usual one at any load while the better answer is in time. Lowering it under pressure, or
// by the price of the better model's reading, serves callers worse: what is asked less of
// are the answers in the middle of the scale, and most of those below the usual confidence
// are poor.
func (u *Upgrade) Required() float64 {
	if u.Target <= 0 || float64(u.Expected) <= lateFrom*float64(u.Target) {
		return u.Usual
	}
	return u.Usual * lateRequired * max(0, 1-u.Pressure/latePressure)
}
