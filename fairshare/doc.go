// Package fairshare divides the engine time of a service among client accounts over all hosts.
//
// Each host keeps a Ledger of the engine time that accounts requested and received at the host, and
// gets the sums over the other hosts. From both the Ledger computes the max-min fair share of each
// account, and reports which accounts received more than their share. It rejects nothing itself:
// the caller serves accounts over their share after the others while requests wait.
//
// The package does no I/O, has no goroutines and doesn't read a clock. A Ledger isn't safe for
// concurrent use.
package fairshare
