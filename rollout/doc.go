// Package rollout bounds the exposure to a version that is rolling in.
//
// Each entry host has a Tracker. It takes every answer from a budget that all
// hosts share, gathers what the answers show (errors, time to first token,
// ratings), and stops the version when the evidence against it is strong, or
// clears it when the evidence for it is. Hosts exchange evidence and stops
// with whatever transport they have; nothing in the package does I/O but
// Granter, which claims parts of the budget from the platform's table.
//
// The entry host embeds both. Parts that aren't granted by the table keep
// within the budget only as long as no more hosts take part than SetHosts said,
// and a version that is worse than its limits by little can use up its budget.
package rollout
