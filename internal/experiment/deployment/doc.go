// Package deployment measures the real entry hosts in a deployment's shape: one
// process runs 7 hosts in 3 availability zones, 18 engines, 3 desk services and
// the platform's stand-in, under an open-loop load of 10 client accounts. The
// engines' times are scaled so that a cell takes seconds. Baselines run on the
// same hosts with a policy replaced.
package deployment
