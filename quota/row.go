package quota

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/quetzalweir/quetzalweir/platform"
)

const (
	accountPrefix = "quota/"
	hostPrefix    = "quotahost/"
)

func accountKey(account string) string { return accountPrefix + url.PathEscape(account) }

func hostKey(id string) string { return hostPrefix + id }

// holding is the slots of one holder.
type holding struct {
	Holder string `json:"holder"`
	Slots  int    `json:"slots"`
}

// accountRow is the value of an account's row.
type accountRow struct {
	// Fresh is the number of slots that were never held.
	Fresh    int       `json:"fresh,omitempty"`
	Holdings []holding `json:"holdings,omitempty"`
	// Wanting are holders that hold less than their fair part and want more.
	Wanting []string `json:"wanting,omitempty"`

	version uint64
}

// parseAccountRow reads a row; the zero Row is one that doesn't exist.
func parseAccountRow(row platform.Row) (accountRow, error) {
	if row.Version == 0 {
		return accountRow{Fresh: Slots}, nil
	}
	r := accountRow{version: row.Version}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return accountRow{}, fmt.Errorf("quota: decode row %s: %w", row.Key, err)
	}
	return r, nil
}

// heldBy returns the slots of a holder.
func (r accountRow) heldBy(id string) int {
	for _, h := range r.Holdings {
		if h.Holder == id {
			return h.Slots
		}
	}
	return 0
}

// free is the number of slots without a holder.
func (r accountRow) free() int {
	n := Slots
	for _, h := range r.Holdings {
		n -= h.Slots
	}
	return n
}

// othersWant reports whether a holder other than id wants more.
func (r accountRow) othersWant(id string) bool {
	return slices.ContainsFunc(r.Wanting, func(w string) bool { return w != id })
}

// without returns the row without dead holders, and which of them held slots.
func (r accountRow) without(dead func(id string) bool) (accountRow, []string) {
	var gone []string
	kept := accountRow{Fresh: r.Fresh, version: r.version}
	for _, h := range r.Holdings {
		if dead(h.Holder) {
			gone = append(gone, h.Holder)
			continue
		}
		kept.Holdings = append(kept.Holdings, h)
	}
	for _, w := range r.Wanting {
		if !dead(w) {
			kept.Wanting = append(kept.Wanting, w)
		}
	}
	return kept, gone
}

// with returns the row with a holder's slots and wish set. Slots that were
// never held go first; their number is returned.
func (r accountRow) with(id string, slots int, wants bool) (accountRow, int) {
	fresh := min(r.Fresh, max(0, slots-r.heldBy(id)))
	next := accountRow{Fresh: r.Fresh - fresh, version: r.version}
	for _, h := range r.Holdings {
		if h.Holder != id {
			next.Holdings = append(next.Holdings, h)
		}
	}
	if slots > 0 {
		next.Holdings = append(next.Holdings, holding{Holder: id, Slots: slots})
	}
	for _, w := range r.Wanting {
		if w != id {
			next.Wanting = append(next.Wanting, w)
		}
	}
	if wants {
		next.Wanting = append(next.Wanting, id)
	}
	return next, fresh
}

// hostRow is the value of a host's row.
type hostRow struct {
	// Attempt numbers the renewals, so that one whose answer was lost is
	// found again.
	Attempt uint64 `json:"attempt"`
	// TTLMillis is the lease in milliseconds.
	TTLMillis int64 `json:"ttl_millis"`
}

func hostID(key string) string { return strings.TrimPrefix(key, hostPrefix) }
