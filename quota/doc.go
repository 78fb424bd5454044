// Package quota enforces each client account's rate limit over all hosts,
// without a coordinator on the request path.
//
// An account's limit is divided into Slots equal slots. The row
// "quota/<account>" of the platform's table records how many slots each host
// holds. Each host has a local token bucket per account, whose rate and depth
// are proportional to its slots, and changes its holding in the background as
// demand moves. Holdings are valid while the host holds the lease that its own
// row, "quotahost/<id>", records. The host counts the lease from the time before
// it sent the renewal, and other hosts delete the row only after they have seen
// it unchanged for longer than the lease. Slots held by a host without a row are
// free.
//
// While the table is unreachable, hosts lend each other slots for a few seconds
// (see Peers).
//
// The entry host calls a Limiter before it sends a request. Full use of the
// limit at every moment isn't guaranteed: slots follow demand within seconds,
// and an account's last requests can be refused while another host has slots
// left.
package quota
