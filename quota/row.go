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

// holding is a number of slots of one holder.
type holding struct {
	Holder string `json:"holder"`
	Slots  int    `json:"slots"`
}

// accountRow is the value of an account's row. version is that of the table row;
// it is 0 if the row doesn't exist.
type accountRow struct {
	// NeverHeld is the number of slots that no host ever held.
	NeverHeld int       `json:"fresh,omitempty"`
	Holdings  []holding `json:"holdings,omitempty"`
	// Shortages holds the number of slots that each host is short of; hosts
	// that aren't short are omitted.
	Shortages []holding `json:"wanting,omitempty"`

	version uint64
}

// parseAccountRow decodes a row; the zero Row stands for one that doesn't exist.
func parseAccountRow(row storage.Row) (accountRow, error) {
	if row.Version == 0 {
		return accountRow{NeverHeld: Slots}, nil
	}
	r := accountRow{version: row.Version}
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return accountRow{}, fmt.Errorf("quota: decode row %s: %w", row.Key, err)
	}
	return r, nil
}

// heldBy returns the number of slots of a holder.
func (r accountRow) heldBy(id string) int {
	for _, h := range r.Holdings {
		if h.Holder == id {
			return h.Slots
		}
	}
	return 0
}

// free returns the number of slots without a holder.
func (r accountRow) free() int {
	n := Slots
	for _, h := range r.Holdings {
		n -= h.Slots
	}
	return n
}

// shortageOf returns the number of slots that a host is short of.
func (r accountRow) shortageOf(id string) int {
	for _, s := range r.Shortages {
		if s.Holder == id {
			return s.Slots
		}
	}
	return 0
}

// sumOthers compares all hosts but one with the fair share and returns three
// sums: the slots that they are short of, the part of these that brings them up
// to the fair share, and the slots that they hold above it.
func (r accountRow) sumOthers(id string, fair int) (shortage, entitled, excess int) {
	for _, s := range r.Shortages {
		if s.Holder != id {
			shortage += s.Slots
			entitled += min(s.Slots, max(0, fair-r.heldBy(s.Holder)))
		}
	}
	for _, h := range r.Holdings {
		if h.Holder != id {
			excess += max(0, h.Slots-fair)
		}
	}
	return shortage, entitled, excess
}

// withoutExpired returns the row without expired holders, and the IDs of those
// that held slots.
func (r accountRow) withoutExpired(expired func(id string) bool) (accountRow, []string) {
	var removed []string
	kept := accountRow{NeverHeld: r.NeverHeld, version: r.version}
	for _, h := range r.Holdings {
		if expired(h.Holder) {
			removed = append(removed, h.Holder)
			continue
		}
		kept.Holdings = append(kept.Holdings, h)
	}
	for _, s := range r.Shortages {
		if !expired(s.Holder) {
			kept.Shortages = append(kept.Shortages, s)
		}
	}
	return kept, removed
}

// withDecision returns the row with a holder's slots and shortage set. Slots
// that were never held are assigned first; their number is returned too.
func (r accountRow) withDecision(id string, d decision) (accountRow, int) {
	neverHeld := min(r.NeverHeld, max(0, d.slots-r.heldBy(id)))
	next := accountRow{
		NeverHeld: r.NeverHeld - neverHeld,
		Holdings:  withSlots(r.Holdings, id, d.slots),
		Shortages: withSlots(r.Shortages, id, d.shortage),
		version:   r.version,
	}
	return next, neverHeld
}

// withSlots returns a copy of the list with a holder's number of slots set; 0
// removes the holder.
func withSlots(list []holding, id string, slots int) []holding {
	next := slices.DeleteFunc(slices.Clone(list), func(h holding) bool { return h.Holder == id })
	if slots > 0 {
		next = append(next, holding{Holder: id, Slots: slots})
	}
	return next
}

// hostRow is the value of a host's row.
type hostRow struct {
	// Attempt numbers the renewals, so that a renewal whose response was lost
	// can be recognized.
	Attempt uint64 `json:"attempt"`
	// TTLMillis is the duration of the lease in milliseconds.
	TTLMillis int64 `json:"ttl_millis"`
}

func hostID(key string) string { return strings.TrimPrefix(key, hostPrefix) }
