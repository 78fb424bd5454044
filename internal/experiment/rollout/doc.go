// Package rollout measures how many answers a bad version gives before it is
// stopped, how often a good one is stopped, and after how many answers a good
// one is cleared. Policies run in virtual time on seeded traffic; the trackers
// are those of the product, not models of them.
package rollout
