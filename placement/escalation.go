package placement

import "time"

// Escalation holds the values that decide whether a request is escalated to a better model after
// a cheaper model has answered.
type Escalation struct {
	// Threshold is the confidence threshold set by the operators, from 0 to 100.
	Threshold float64
	// ExpectedTime is the expected time from the request's arrival to the better model's first
	// event. Target is the target for that time; 0 means none.
	ExpectedTime time.Duration
	Target       time.Duration
	// Pressure is the mean queueing time of the service's prompts divided by their mean
	// prefill time.
	Pressure float64
	// Saturation is the fraction of the service's new requests that no engine could begin
	// within their targets, from 0 to 1; 0 where requests aren't held.
	Saturation float64
}

const (
	// lateFraction is the fraction of the target from which an expected first event counts as
	// late. It is below 1 because estimates are inexact.
	lateFraction = 0.9
	// lateThresholdFactor multiplies the threshold if the better answer would be late. It is
	// above 0 because a late answer is better than a poor one.
	lateThresholdFactor = 0.3
	// maxLatePressure is the pressure from which late answers are never requested, because
	// their prefill would delay other requests beyond their targets.
	maxLatePressure = 0.6
	// saturatedThresholdFactor multiplies the threshold at a saturation of 1. It is above 0
	// because an answer far below the threshold is probably wrong, and a better one is worth the
	// delay of another request.
	saturatedThresholdFactor = 0.2
)

// RequiredConfidence returns the confidence from which the cheaper model's answer is accepted;
// below it the request is escalated. If the better model's first event is expected in time, the
// required confidence is Threshold at any load. Lowering it under pressure, or by the cost of the
// better model's prefill, would serve callers worse: answers of medium confidence would be
// accepted, although most answers below the usual threshold are poor. While engines can't begin
// new requests in time, each escalation makes another request late, so that the required
// confidence falls with the saturation and only the answers of the lowest confidence are replaced.
func (e *Escalation) RequiredConfidence() float64 {
	saturated := e.Threshold * (1 - (1-saturatedThresholdFactor)*min(1, max(0, e.Saturation)))
	if e.Target <= 0 || float64(e.ExpectedTime) <= lateFraction*float64(e.Target) {
		return saturated
	}
	return min(saturated, e.Threshold*lateThresholdFactor*max(0, 1-e.Pressure/maxLatePressure))
}
