package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/quetzalweir/quetzalweir/storage"
)

// GrantPrefix is the start of the keys of the table's rows about budgets.
const GrantPrefix = "exposure/"

// grantAttempts bounds how often a claim is tried when others write the row.
const grantAttempts = 4

// Claim asks for a part of a version's budget.
type Claim struct {
	Key   Key
	Epoch uint64
	// Budget is the rule's budget.
	Budget int
	// Hosts is the number of entry hosts.
	Hosts int
	// Good is how many good answers all hosts observed. The parts granted
	// stay within GrantInitial plus GrantGrowth times Good, so that many hosts
	// can't spend the budget before there is evidence.
	Good uint64
}

// Limits of how much of a budget is granted ahead of the evidence.
const (
	GrantInitial = 32
	GrantGrowth  = 3
)

// grantRow is the value of a row: what each host incarnation was granted.
type grantRow struct {
	Granted map[string]uint64 `json:"granted"`
}

// Granter claims parts of budgets from the platform's table. A part that a
// host was granted and didn't use before it ended is lost to the others: the
// sum of all answers stays within the budget.
type Granter struct {
	table storage.Table
	host  string
}

// NewGranter returns a Granter for the host with this ID.
func NewGranter(table storage.Table, host string) *Granter {
	return &Granter{table: table, host: host}
}

// Claim asks for a further part and returns all that this host was ever
// granted of the budget. It is safe to repeat after any error: the row holds
// the host's total, so a claim whose answer was lost is found, not doubled.
func (g *Granter) Claim(ctx context.Context, claim Claim) (total uint64, err error) {
	for range grantAttempts {
		total, err = g.try(ctx, claim)
		if !errors.Is(err, storage.ErrConflict) {
			break
		}
	}
	if err != nil {
		return 0, fmt.Errorf("claim exposure of %s@%s: %w", claim.Key.Model, claim.Key.Version, err)
	}
	return total, nil
}

func (g *Granter) try(ctx context.Context, claim Claim) (uint64, error) {
	name := grantName(claim)
	row, version, err := g.read(ctx, name)
	if err != nil {
		return 0, err
	}
	part := claim.part(row.sum())
	if part == 0 {
		return row.Granted[g.host], nil
	}
	row.Granted[g.host] += part
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fmt.Errorf("encode grants: %w", err)
	}
	_, err = g.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: name, Version: version}},
		Puts:       []storage.Put{{Key: name, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return row.Granted[g.host], nil
}

func (g *Granter) read(ctx context.Context, name string) (grantRow, uint64, error) {
	row := grantRow{Granted: make(map[string]uint64)}
	stored, err := g.table.Get(ctx, name)
	if errors.Is(err, storage.ErrNotFound) {
		return row, 0, nil
	}
	if err != nil {
		return row, 0, err
	}
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return row, 0, fmt.Errorf("decode grants: %w", err)
	}
	return row, stored.Version, nil
}

func grantName(claim Claim) string {
	return fmt.Sprintf("%s%s/%s/%d", GrantPrefix, claim.Key.Model, claim.Key.Version, claim.Epoch)
}

func (r grantRow) sum() uint64 {
	sum := uint64(0)
	for _, n := range r.Granted {
		sum += n
	}
	return sum
}

// part returns how much of the rest is granted at once: a fraction, so that
// the last answers are spread over many hosts, and at least one.
func (c Claim) part(granted uint64) uint64 {
	limit := min(uint64(max(0, c.Budget)), GrantInitial+GrantGrowth*c.Good)
	if granted >= limit {
		return 0
	}
	rest := limit - granted
	return max(1, rest/uint64(2*max(1, c.Hosts)))
}

// Wanted is readable when answers that were taken or denied call for a further part of a
// budget.
func (t *Tracker) Wanted() <-chan struct{} { return t.wanted }

func (t *Tracker) want() {
	select {
	case t.wanted <- struct{}{}:
	default: // it is known
	}
}

// Claims returns what this host should claim: the parts of the versions that
// are neither stopped nor cleared, whose use was asked for and whose rest is
// at most half of what was last granted.
func (t *Tracker) Claims() []Claim {
	var claims []Claim
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, e := range s.entries {
			if _, stopped := s.stopped(key); !stopped && e.wantsGrant() {
				claims = append(claims, e.claim(t.hostCount()))
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(claims, func(a, b Claim) int { return compareKeys(a.Key, b.Key) })
	return claims
}

// Grant sets what this host was granted in total for a version in an epoch.
// Another epoch's total is ignored. One that isn't higher than before says that
// nothing was left, and no claim is made until there is more evidence.
func (t *Tracker) Grant(key Key, epoch, total uint64) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || e.rule.Epoch != epoch {
		return
	}
	if total <= e.own.Granted {
		e.claimAtGood = e.sum.good() + 1
		return
	}
	e.lastGrant = total - e.own.Granted
	e.own.Granted = total
	t.mark(e, e.own.Host)
}

// Refill claims what is wanted and grants it. It is called every second or so
// on hosts with Options.Granted, and when Wanted says so, and goes on with the other versions when one
// claim fails.
func (t *Tracker) Refill(ctx context.Context, granter *Granter) error {
	var failed error
	for _, claim := range t.Claims() {
		total, err := granter.Claim(ctx, claim)
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		t.Grant(claim.Key, claim.Epoch, total)
	}
	return failed
}

func (e *entry) wantsGrant() bool {
	if e.cleared || e.rule.Budget <= 0 {
		return false
	}
	if e.sum.good() < e.claimAtGood {
		return false
	}
	asked := e.own.Taken > 0 || e.own.Denied > 0
	return asked && e.remaining() <= e.lastGrant/2
}

func (e *entry) claim(hosts int) Claim {
	return Claim{
		Key:    e.rule.Key(),
		Epoch:  e.rule.Epoch,
		Budget: e.rule.Budget,
		Hosts:  hosts,
		Good:   e.sum.good(),
	}
}
