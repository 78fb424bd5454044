// Package rollout measures how many answers a bad version gives before it is
// stopped, how often a good one is stopped, and how many answers clear it.
// Policies run in virtual time on seeded traffic; the trackers are the real
// ones.
package rollout
