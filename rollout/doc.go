// Package rollout bounds the exposure to a model version while it is rolled
// out.
//
// Each entry host has a Tracker. It charges every answer of the version to a
// budget that all hosts share, counts errors, times to first token and ratings,
// and stops the version when the evidence shows that it violates a limit, or
// clears it when the evidence shows that it keeps all of them. The caller
// transports evidence and stops between hosts. Only Granter does I/O: it claims
// parts of the budget from the platform's table.
//
// The entry host embeds a Tracker and a Granter. Without a Granter, the answers
// stay within the budget only if the number of hosts that take part is at most
// the one passed to SetHosts. A version that is only slightly worse than its
// limits can use up its budget before it is stopped.
package rollout
