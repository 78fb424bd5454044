package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/quetzalweir/quetzalweir/storage"
)

// GrantPrefix is the key prefix of the table rows that hold budget grants.
const GrantPrefix = "exposure/"

// grantAttempts is the number of attempts to commit a claim when other hosts
// write the row concurrently.
const grantAttempts = 4

// Claim is a request for a part of a version's budget.
type Claim struct {
	Key   Key
	Round uint64
	// Budget is the rule's budget.
	Budget int
	// Hosts is the number of entry hosts.
	Hosts int
	// Good is the number of good answers that all hosts observed. The sum of
	// the grants stays within GrantInitial plus GrantGrowth times Good, so that
	// many hosts can't use up the budget before there is evidence.
	Good uint64
}

// All hosts together are granted at most GrantInitial answers before there are
// good answers, and GrantGrowth more for each good answer.
const (
	GrantInitial = 32
	GrantGrowth  = 3
)

// grantRow is the value of the table row for one version and round: the number of
// answers granted to each host, by host ID. A restarted host has a new ID.
type grantRow struct {
	Granted map[string]uint64 `json:"granted"`
}

// Granter claims parts of budgets from the platform's table. What a host was
// granted and didn't use before it terminated isn't granted again, so that the
// sum of all answers stays within the budget.
type Granter struct {
	table storage.Table
	host  string
}

// NewGranter returns a Granter for the host with this ID.
func NewGranter(table storage.Table, host string) *Granter {
	return &Granter{table: table, host: host}
}

// Claim claims a further part of the budget and returns the total that this
// host was ever granted. It is safe to repeat after any error: the row holds
// the host's total, so a grant whose response was lost is included in the next
// result. The repeated claim may still be granted a further part.
func (g *Granter) Claim(ctx context.Context, claim Claim) (total uint64, err error) {
	for range grantAttempts {
		total, err = g.tryClaim(ctx, claim)
		if !errors.Is(err, storage.ErrConflict) {
			break
		}
	}
	if err != nil {
		return 0, fmt.Errorf("claim exposure of %s@%s: %w", claim.Key.Model, claim.Key.Version, err)
	}
	return total, nil
}

func (g *Granter) tryClaim(ctx context.Context, claim Claim) (uint64, error) {
	key := grantKey(claim)
	row, version, err := g.read(ctx, key)
	if err != nil {
		return 0, err
	}
	grant := claim.nextGrant(row.sum())
	if grant == 0 {
		return row.Granted[g.host], nil
	}
	row.Granted[g.host] += grant
	value, err := json.Marshal(row)
	if err != nil {
		return 0, fmt.Errorf("encode grants: %w", err)
	}
	_, err = g.table.Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: key, Version: version}},
		Puts:       []storage.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return row.Granted[g.host], nil
}

func (g *Granter) read(ctx context.Context, key string) (grantRow, uint64, error) {
	row := grantRow{Granted: make(map[string]uint64)}
	stored, err := g.table.Get(ctx, key)
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

func grantKey(claim Claim) string {
	return fmt.Sprintf("%s%s/%s/%d", GrantPrefix, claim.Key.Model, claim.Key.Version, claim.Round)
}

func (r grantRow) sum() uint64 {
	sum := uint64(0)
	for _, n := range r.Granted {
		sum += n
	}
	return sum
}

// nextGrant returns the number of answers to grant for the claim, given the
// number already granted to all hosts together. It grants at least 1 but only a
// fraction of the answers that are left, so that the last ones are spread over
// many hosts. It returns 0 if none are left.
func (c Claim) nextGrant(granted uint64) uint64 {
	limit := min(uint64(max(0, c.Budget)), GrantInitial+GrantGrowth*c.Good)
	if granted >= limit {
		return 0
	}
	remaining := limit - granted
	return max(1, remaining/uint64(2*max(1, c.Hosts)))
}

// GrantNeeded returns a channel that receives an element when Take or
// TakeUnpaced finds that this host needs a further part of a budget.
func (t *Tracker) GrantNeeded() <-chan struct{} { return t.grantNeeded }

func (t *Tracker) signalGrantNeeded() {
	select {
	case t.grantNeeded <- struct{}{}:
	default: // already signalled
	}
}

// Claims returns the claims that this host should make: for the versions that
// are neither stopped nor cleared, have been requested on this host, and have
// at most half of the last grant left. After a claim that was granted nothing,
// it omits the version until another good answer is observed.
func (t *Tracker) Claims() []Claim {
	var claims []Claim
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, e := range s.entries {
			if _, stopped := s.stopped(key); !stopped && e.needsGrant() {
				claims = append(claims, e.claim(t.hostCount()))
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(claims, func(a, b Claim) int { return compareKeys(a.Key, b.Key) })
	return claims
}

// Grant sets the total that this host was granted for a version in a round.
// The total of another round is ignored. If the total isn't higher than before,
// nothing was left to grant, and Claims omits the version until another good
// answer is observed.
func (t *Tracker) Grant(key Key, round, total uint64) {
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	if e == nil || e.rule.Round != round {
		return
	}
	if total <= e.own.Granted {
		e.minGoodForClaim = e.roundSum.good() + 1
		return
	}
	e.lastGrant = total - e.own.Granted
	e.own.Granted = total
	t.recordChange(e, e.own.Host)
}

// ClaimGrants makes the claims that Claims returns and applies the grants. Hosts
// with Options.GrantedOnly call it about every second and whenever the channel
// of GrantNeeded receives an element. If one claim fails, it continues with the
// other versions and returns the joined errors.
func (t *Tracker) ClaimGrants(ctx context.Context, granter *Granter) error {
	var errs error
	for _, claim := range t.Claims() {
		total, err := granter.Claim(ctx, claim)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		t.Grant(claim.Key, claim.Round, total)
	}
	return errs
}

func (e *entry) needsGrant() bool {
	if e.cleared || e.rule.Budget <= 0 {
		return false
	}
	if e.roundSum.good() < e.minGoodForClaim {
		return false
	}
	used := e.own.Taken > 0 || e.own.Denied > 0
	return used && e.remaining() <= e.lastGrant/2
}

func (e *entry) claim(hosts int) Claim {
	return Claim{
		Key:    e.rule.Key(),
		Round:  e.rule.Round,
		Budget: e.rule.Budget,
		Hosts:  hosts,
		Good:   e.roundSum.good(),
	}
}
