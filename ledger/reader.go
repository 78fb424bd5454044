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
	// pageSize is the maximum number of rows in one read of the table.
	pageSize = 200
	// DefaultMargin is the default of Query.Margin.
	DefaultMargin = 10 * time.Minute
)

// Query selects bills. A field with its zero value doesn't restrict the result.
type Query struct {
	Account   string
	RequestID string
	Epoch     uint64
	// From and To bound Bill.At: from From, up to but not including To.
	From, To time.Time
	// Margin is the duration before From and after To in which Read also
	// searches for bills. If a bill there has the same ID as a bill between From
	// and To and takes precedence over it (see Prefer), Read yields neither.
	// Default DefaultMargin.
	Margin time.Duration
}

// Read yields the bills that match q, each ID once, in the order of their
// time and ID. After an error it yields only that error, with a zero bill,
// because a bill that wasn't read could take precedence over one that was.
func Read(ctx context.Context, table storage.Table, objects storage.Objects, q Query) iter.Seq2[Bill, error] {
	return func(yield func(Bill, error) bool) {
		set, err := readBillSet(ctx, table, objects, q)
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

// billSet holds bills by ID and refusal counts by origin.
type billSet struct {
	bills    map[string]Bill
	refusals map[refusalID]RefusalCount
}

// refusalID identifies a refusal count. A count that is read twice, from a
// segment and from its compacted copy, has the same refusalID.
type refusalID struct {
	origin string
	key    refusalKey
}

func newBillSet() *billSet {
	return &billSet{bills: make(map[string]Bill), refusals: make(map[refusalID]RefusalCount)}
}

func (s *billSet) add(b batch, keep func(Bill) bool) {
	for _, bill := range b.Bills {
		if keep(bill) {
			s.addBill(bill)
		}
	}
	for _, r := range b.Refusals {
		key := refusalKey{account: r.Account, epoch: r.Epoch, code: r.Code}
		s.refusals[refusalID{origin: r.Origin, key: key}] = r
	}
}

func (s *billSet) addBill(b Bill) {
	if other, found := s.bills[b.ID]; found {
		b = Prefer(other, b)
	}
	s.bills[b.ID] = b
}

// sorted returns the bills in the order of their time and ID.
func (s *billSet) sorted() []Bill {
	list := make([]Bill, 0, len(s.bills))
	for _, b := range s.bills {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b Bill) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// readBillSet reads all bills and refusal counts that can affect the result of
// q. It filters bills only by account, because the other fields can differ
// between two bills with the same ID.
func readBillSet(ctx context.Context, table storage.Table, objects storage.Objects, q Query) (*billSet, error) {
	s := newBillSet()
	keep := func(b Bill) bool { return q.Account == "" || q.Account == b.Account }
	for stored, err := range q.listRows(ctx, table) {
		if err != nil {
			return nil, err
		}
		if err := s.addRow(ctx, objects, stored, keep); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *billSet) addRow(ctx context.Context, objects storage.Objects, stored storage.Row, keep func(Bill) bool) error {
	r, err := parseRow(stored)
	if err != nil {
		return err
	}
	for b, err := range decodedBatches(ctx, objects, r) {
		if err != nil {
			return fmt.Errorf("row %s: %w", stored.Key, err)
		}
		s.add(b, keep)
	}
	return nil
}

// listRows yields the rows of the minutes from From to To, widened by the
// margin, and the compacted rows of their days. The compacted rows of the last day
// sort after the rows of its minutes and are read last.
func (q Query) listRows(ctx context.Context, table storage.Table) iter.Seq2[storage.Row, error] {
	return func(yield func(storage.Row, error) bool) {
		after, last := "", "~"
		if !q.From.IsZero() {
			after = keyPrefix + bucket(q.From.Add(-q.margin()))
		}
		if !q.To.IsZero() {
			last = bucket(q.To.Add(q.margin()))
		}
		for stored, err := range listRows(ctx, table, keyPrefix, after) {
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
		for stored, err := range listRows(ctx, table, keyPrefix+dayBucket(dayOf(last))+"/", "") {
			if !yield(stored, err) || err != nil {
				return
			}
		}
	}
}

// bucketOf returns the bucket in a row's key.
func bucketOf(key string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	return name
}

// listRows yields all rows with a prefix whose keys are above after. It doesn't
// miss a row that is compacted meanwhile, because the key of the compacted row
// is above that of the row that it replaces.
func listRows(ctx context.Context, table storage.Table, prefix, after string) iter.Seq2[storage.Row, error] {
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
