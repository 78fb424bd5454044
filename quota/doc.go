// Package quota limits each client account's requests over all hosts, without
// a coordinator on the request path.
//
// An account's limit is cut into Slots equal slots. The row "quota/<account>"
// of the platform's table says how many slots each host holds. A host spends
// only what its slots give, from memory, and changes its holding in the
// background as demand moves. Its holdings count while its own row,
// "quotahost/<id>", is leased: the host counts its lease from before it began
// to renew it, and others delete the row only after they saw it unchanged for
// longer than the lease. Slots of a host without a row are free.
//
// While the table doesn't answer, hosts lend each other slots for seconds
// (Peers).
//
// The entry host asks a Limiter before it sends a request. Using the whole
// limit at every moment isn't promised: slots follow demand within seconds, and
// an account's last requests can be refused while another host has room.
package quota
