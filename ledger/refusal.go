package ledger

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// maxRefusalKeys bounds the combinations of account, epoch and code that are
	// counted separately between two flushes.
	maxRefusalKeys = 10_000
	// OtherAccounts is the account under which refusals of further combinations
	// are counted once there are maxRefusalKeys.
	OtherAccounts = "*"
)

type refusalKey struct {
	account string
	epoch   uint64
	code    int
}

// refusalCounts counts refusals between two flushes.
type refusalCounts struct {
	mu     sync.Mutex
	counts map[refusalKey]int
}

// CountRefusal counts a request that was refused before anything was sent to an
// upstream.
func (l *Ledger) CountRefusal(account string, epoch uint64, code int) {
	l.refusals.add(refusalKey{account: account, epoch: epoch, code: code}, 1)
}

func (r *refusalCounts) add(key refusalKey, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.counts[key]; !known && len(r.counts) >= maxRefusalKeys {
		key.account = OtherAccounts
	}
	r.counts[key] += n
}

// take returns the counts, sorted, and resets them.
func (r *refusalCounts) take() []RefusalCount {
	r.mu.Lock()
	counts := r.counts
	r.counts = make(map[refusalKey]int)
	r.mu.Unlock()
	list := make([]RefusalCount, 0, len(counts))
	for key, n := range counts {
		list = append(list, RefusalCount{Account: key.account, Epoch: key.epoch, Code: key.code, Count: n})
	}
	slices.SortFunc(list, compareRefusals)
	return list
}

func compareRefusals(a, b RefusalCount) int {
	return cmp.Or(
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.Code, b.Code),
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Origin, b.Origin),
	)
}
