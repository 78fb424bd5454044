package ledger

import (
	"cmp"
	"context"
	"fmt"
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	// pageSize is the number of rows in one read of the table.
	pageSize = 200
	// DefaultMargin is the default of Query.Margin.
	DefaultMargin = 10 * time.Minute
)

// Query selects bills. Zero fields select everything.
type Query struct {
	Account   string
	RequestID string
	Epoch     uint64
	// From and To bound Bill.At: from From, up to but not including To.
	From, To time.Time
	// Margin is how far outside From and To is looked for another bill with
	// the same ID that stands in place of one inside; default DefaultMargin.
	Margin time.Duration
}

// Read yields the bills that match q, each ID once, in the order of their
// time and ID. An error is yielded last, with a zero bill; bills before an
// error aren't yielded, since none is known to stand.
func Read(ctx context.Context, table storage.Table, objects storage.Objects, q Query) iter.Seq2[Bill, error] {
	return func(yield func(Bill, error) bool) {
		set, err := collectSet(ctx, table, objects, q)
		if err != nil {
			yield(Bill{}, err)
			return
		}
		for _, b := range set.sorted() {
			if q.match(b) && !yield(b, nil) {
				return
			}
		}
	}
}

func (q Query) match(b Bill) bool {
	return (q.Account == "" || q.Account == b.Account) &&
		(q.RequestID == "" || q.RequestID == b.RequestID) &&
		(q.Epoch == 0 || q.Epoch == b.Epoch) &&
		(q.From.IsZero() || !b.At.Before(q.From)) &&
		(q.To.IsZero() || b.At.Before(q.To))
}

func (q Query) margin() time.Duration {
	if q.Margin > 0 {
		return q.Margin
	}
	return DefaultMargin
}

// set is a set of bills by ID and of refusal counts by origin.
type set struct {
	bills    map[string]Bill
	refusals map[refusalOrigin]RefusalCount
}

type refusalOrigin struct {
	origin string
	key    refusalKey
}

func newSet() *set {
	return &set{bills: make(map[string]Bill), refusals: make(map[refusalOrigin]RefusalCount)}
}

func (s *set) add(b batch, keep func(Bill) bool) {
	for _, bill := range b.Bills {
		if keep(bill) {
			s.addBill(bill)
		}
	}
	for _, r := range b.Refusals {
		key := refusalKey{account: r.Account, epoch: r.Epoch, code: r.Code}
		s.refusals[refusalOrigin{origin: r.Origin, key: key}] = r
	}
}

func (s *set) addBill(b Bill) {
	if other, found := s.bills[b.ID]; found {
		b = Prefer(other, b)
	}
	s.bills[b.ID] = b
}

// sorted returns the bills in the order of their time and ID.
func (s *set) sorted() []Bill {
	list := make([]Bill, 0, len(s.bills))
	for _, b := range s.bills {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b Bill) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// collectSet reads all that bears on q. Only the account is filtered here: the
// other fields may differ between two bills with one ID.
func collectSet(ctx context.Context, table storage.Table, objects storage.Objects, q Query) (*set, error) {
	s := newSet()
	keep := func(b Bill) bool { return q.Account == "" || q.Account == b.Account }
	for stored, err := range q.rows(ctx, table) {
		if err != nil {
			return nil, err
		}
		if err := s.addRow(ctx, objects, stored, keep); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *set) addRow(ctx context.Context, objects storage.Objects, stored storage.Row, keep func(Bill) bool) error {
	r, err := parseRow(stored)
	if err != nil {
		return err
	}
	for b, err := range load(ctx, objects, r) {
		if err != nil {
			return fmt.Errorf("row %s: %w", stored.Key, err)
		}
		s.add(b, keep)
	}
	return nil
}

// rows yields the rows of the buckets that bear on q, and the folded rows of
// their days. Those of the last day sort above its buckets and are read last.
func (q Query) rows(ctx context.Context, table storage.Table) iter.Seq2[storage.Row, error] {
	return func(yield func(storage.Row, error) bool) {
		after, last := "", "~"
		if !q.From.IsZero() {
			after = prefix + bucket(q.From.Add(-q.margin()))
		}
		if !q.To.IsZero() {
			last = bucket(q.To.Add(q.margin()))
		}
		for stored, err := range rows(ctx, table, prefix, after) {
			if err == nil && bucketOf(stored.Key) > last {
				break
			}
			if !yield(stored, err) || err != nil {
				return
			}
		}
		if q.To.IsZero() {
			return
		}
		for stored, err := range rows(ctx, table, prefix+dayBucket(dayOf(last))+"/", "") {
			if !yield(stored, err) || err != nil {
				return
			}
		}
	}
}

// bucketOf returns the bucket in a row's key.
func bucketOf(key string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	return name
}

// rows yields all rows with a prefix whose keys are above after. A row moved by
// a compaction meanwhile is met again: its new key is above the old one.
func rows(ctx context.Context, table storage.Table, prefix, after string) iter.Seq2[storage.Row, error] {
	return func(yield func(storage.Row, error) bool) {
		for {
			page, err := table.List(ctx, prefix, after, pageSize)
			if err != nil {
				yield(storage.Row{}, fmt.Errorf("ledger: list: %w", err))
				return
			}
			for _, r := range page {
				if !yield(r, nil) {
					return
				}
			}
			if len(page) == 0 {
				return
			}
			after = page[len(page)-1].Key
		}
	}
}
