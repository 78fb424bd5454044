// Package cascade decides at which model of a cascade a request starts.
//
// A cascade tries cheaper models first and goes on to a dearer one when the
// rated answer misses the target. That saves cost only if the cheap model's
// answers are accepted often enough, and it always delays the requests that
// escalate. Policy is a pure function of a View; Learner keeps the statistics
// that the view needs, for each client account and class.
//
// The entry host embeds it. What is learnt stays on one host and is lost with
// it. Which answers are accepted is the manifest's matter, so the package
// promises nothing about quality.
package cascade
