// Package cascade decides at which model of a cascade a request starts.
//
// A cascade sends a request to a cheaper model first and escalates it to a more
// expensive one when the answer's rating is below the target. That saves cost
// only if the cheap model's answers are accepted often enough, and it always
// delays the requests that escalate. Policy makes the decision, as a pure
// function of a View; Learner keeps the statistics that the View needs, for
// each client account, class and range of prompt lengths.
//
// The entry host embeds a Learner. The statistics are local to one host and are
// lost when it stops. The manifest sets which answers are accepted, so the package
// guarantees nothing about quality.
package cascade
