package capacity

import (
	"strings"

	"github.com/quetzalweir/quetzalweir/ledger"
)

// rowsOf is the rows of the table that one purpose adds in a day.
type rowsOf struct {
	name   string
	perDay func(Size) float64
	// removed says what removes them.
	removed string
}

var dailyRows = []rowsOf{
	{"manifests, epoch and digest", func(s Size) float64 { return 2 * s.Changes }, "nothing"},
	{"ledger segments", func(s Size) float64 {
		return s.Hosts * secondsPerDay / ledger.FlushPeriod(int(s.Hosts)).Seconds()
	}, "`ledger.Compact`, each 10 s on one host"},
	{"claims", func(s Size) float64 { return keyedShare * s.Requests * secondsPerDay },
		"`claim.Sweep`, 500 rows each 10 s on one host: 4.3 M looks a day at rows that stay 30 days"},
	{"sessions without a token", func(s Size) float64 { return newSessions * rowSessions * s.Requests * secondsPerDay },
		"the sweep of package session, a page each 10 s on one host"},
}

func writeRows(b *strings.Builder) {
	table(b, "Rows that the table gets", "In a day; the upper bound of a day at the peak for what follows the requests.",
		"", "today", "full", "removed by")
	for _, r := range dailyRows {
		row(b, r.name, number(r.perDay(Today())), number(r.perDay(Full())), r.removed)
	}
	b.WriteString("\n")
}
