package quota

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/quetzalweir/quetzalweir/storage"
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
	// Wanting are hosts that are short of slots, with how many.
	Wanting []holding `json:"wanting,omitempty"`

	version uint64
}

// parseAccountRow reads a row; the zero Row is one that doesn't exist.
func parseAccountRow(row storage.Row) (accountRow, error) {
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

// wish returns what a host is short of.
func (r accountRow) wish(id string) int {
	for _, w := range r.Wanting {
		if w.Holder == id {
			return w.Slots
		}
	}
	return 0
}

// scarcity sums the state of all hosts but one against a fair part: what they
// are short of, how much of that brings them up to the fair part, and what
// they hold over it.
func (r accountRow) scarcity(id string, fair int) (wanted, entitled, excess int) {
	for _, w := range r.Wanting {
		if w.Holder != id {
			wanted += w.Slots
			entitled += min(w.Slots, max(0, fair-r.heldBy(w.Holder)))
		}
	}
	for _, h := range r.Holdings {
		if h.Holder != id {
			excess += max(0, h.Slots-fair)
		}
	}
	return wanted, entitled, excess
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
		if !dead(w.Holder) {
			kept.Wanting = append(kept.Wanting, w)
		}
	}
	return kept, gone
}

// with returns the row with a holder's slots and wish set. Slots that were
// never held go first; their number is returned.
func (r accountRow) with(id string, d decision) (accountRow, int) {
	fresh := min(r.Fresh, max(0, d.slots-r.heldBy(id)))
	next := accountRow{
		Fresh:    r.Fresh - fresh,
		Holdings: replace(r.Holdings, id, d.slots),
		Wanting:  replace(r.Wanting, id, d.wants),
		version:  r.version,
	}
	return next, fresh
}

// replace returns the list with a holder's number set; 0 leaves it out.
func replace(list []holding, id string, slots int) []holding {
	next := slices.DeleteFunc(slices.Clone(list), func(h holding) bool { return h.Holder == id })
	if slots > 0 {
		next = append(next, holding{Holder: id, Slots: slots})
	}
	return next
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
