// Package deployment measures the real entry hosts in the topology of a
// deployment: one process runs 7 hosts in 3 availability zones, 18 engines, 3
// desk services and a stand-in for the platform, under an open-loop load of 10
// client accounts. The engines' times are scaled down so that a cell takes
// seconds. Baselines run on the same hosts with a policy replaced.
package deployment
