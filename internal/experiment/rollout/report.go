package rollout

import (
	"fmt"
	"io"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// DefaultSeeds is the default of Options.Seeds.
const DefaultSeeds = 20

// Options are the settings of the experiment.
type Options struct {
	// Seeds is the number of runs a cell; 0 means DefaultSeeds.
	Seeds int
}

// contender is a policy under its name in the tables.
type contender struct {
	name  string
	build newCluster
}

var (
	full    = contender{"evidence shared, paced", tracked(variant{})}
	grants  = contender{"the same, budget granted by the table", tracked(variant{granted: true})}
	noTable = contender{"granted, the table down after a second", tracked(variant{granted: true, tableDown: true})}
	unpaced = contender{"evidence shared, not paced", tracked(variant{unpaced: true})}
	alone   = contender{"stops shared only, paced", tracked(variant{alone: true})}
	silent  = contender{"nothing shared, paced", tracked(variant{silent: true})}
	bare    = contender{"nothing shared, not paced", tracked(variant{silent: true, unpaced: true})}
	usual   = contender{"share-based canary, each host by itself", shareCanary}
)

// usualSetting is the middle of each table.
func usualSetting(version behaviour) setting {
	return setting{
		version:    version,
		hosts:      7,
		exchange:   time.Second,
		raterDelay: 2 * time.Second,
		ratedShare: 1,
	}
}

// Run prints all tables in Markdown.
func Run(w io.Writer, options Options) error {
	if options.Seeds <= 0 {
		options.Seeds = DefaultSeeds
	}
	r := &report{Tables: simulate.NewTables(w), seeds: options.Seeds}
	r.mechanisms()
	r.hosts()
	r.exchange()
	r.rater()
	r.turnsBad()
	r.good()
	r.large()
	r.comparisons()
	return r.Err()
}

type report struct {
	*simulate.Tables
	seeds int
}

func (r *report) head(title string) {
	r.Section(title)
	r.Header(3, "version", "setting", "policy", "answers, mean", "median", "worst", "bad ones, mean", "stopped")
}

// cell runs one cell and prints its row.
func (r *report) cell(label string, s setting, c contender) {
	results := r.results(s, c)
	exposed := simulate.Summarize(simulate.Values(results, answersOf))
	bad := simulate.Summarize(simulate.Values(results, func(r result) float64 { return r.bad }))
	r.Row(s.version.name, label, c.name, fmt.Sprintf("%.1f", exposed.Mean), fmt.Sprintf("%.0f", exposed.Median),
		fmt.Sprintf("%.0f", exposed.Max), fmt.Sprintf("%.1f", bad.Mean), r.share(results, isStopped))
}

func answersOf(r result) float64 { return r.exposed }

func isStopped(r result) bool { return r.stopped }

// share writes how many of the runs fulfil the condition.
func (r *report) share(results []result, condition func(result) bool) string {
	n := 0
	for _, result := range results {
		if condition(result) {
			n++
		}
	}
	return fmt.Sprintf("%d/%d", n, r.seeds)
}

func (r *report) results(s setting, c contender) []result {
	return simulate.RunSeeds(r.seeds, func(seed int) result { return run(s, c.build, seed) })
}

func (r *report) mechanisms() {
	r.head("What each mechanism does: 7 hosts, exchange every second")
	for _, v := range badVersions {
		for _, c := range []contender{usual, bare, silent, alone, unpaced, full, grants} {
			r.cell("-", usualSetting(v), c)
		}
	}
}

func (r *report) hosts() {
	r.head("Number of hosts, and hosts cut from each other")
	for _, v := range badVersions {
		for _, hosts := range []int{1, 3, 7} {
			s := usualSetting(v)
			s.hosts = hosts
			r.cell(fmt.Sprint("hosts: ", hosts), s, full)
		}
		s := usualSetting(v)
		s.cut = 3
		r.cell("7 hosts, 3 of them cut from all", s, full)
		r.cell("7 hosts, 3 of them cut from all", s, grants)
		s.cut = 7
		r.cell("7 hosts, all cut", s, full)
		r.cell("7 hosts, all cut", s, grants)
		r.cell("7 hosts, all cut", s, noTable)
		r.cell("7 hosts, all cut", s, usual)
	}
}

func (r *report) exchange() {
	r.head("Exchange interval, 7 hosts")
	for _, v := range badVersions {
		for _, interval := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second} {
			s := usualSetting(v)
			s.exchange = interval
			r.cell(interval.String(), s, full)
		}
	}
}

func (r *report) rater() {
	r.head("A slow rater, or few answers rated, 7 hosts")
	poor := badVersions[len(badVersions)-1]
	for _, delay := range []time.Duration{2 * time.Second, 30 * time.Second, 2 * time.Minute} {
		for _, share := range []float64{1, 0.2} {
			s := usualSetting(poor)
			s.raterDelay = delay
			s.ratedShare = share
			label := fmt.Sprintf("rating after %v, %.0f%% rated", delay, 100*share)
			for _, c := range []contender{usual, unpaced, full} {
				r.cell(label, s, c)
			}
		}
	}
	s := usualSetting(poor)
	s.ratedShare = 0
	r.cell("rater down", s, unpaced)
	r.cell("rater down", s, full)
}

func (r *report) turnsBad() {
	r.head("A version that turns bad after 5 minutes, once cleared; answers after that")
	for _, v := range badVersions {
		v.badAfter = horizon / 2
		for _, c := range []contender{usual, silent, full} {
			r.cell("-", usualSetting(v), c)
		}
	}
}

// good prints how often a good version is stopped, and what clearing costs.
func (r *report) good() {
	r.Section("A good version, 10 minutes")
	r.Header(2, "setting", "policy", "falsely stopped", "cleared", "answers until cleared, median", "worst", "answers in all, mean")
	near := goodVersion
	near.errorRate = 0.015
	for _, v := range []behaviour{goodVersion, near} {
		s := usualSetting(v)
		for _, c := range []contender{usual, silent, full, grants} {
			r.goodCell(fmt.Sprintf("%.1f%% errors of 2%% permitted", 100*v.errorRate), s, c)
		}
		s.ratedShare = 0.2
		r.goodCell(fmt.Sprintf("%.1f%% errors, 20%% rated", 100*v.errorRate), s, full)
	}
}

func (r *report) goodCell(label string, s setting, c contender) {
	results := r.results(s, c)
	var until []float64
	for _, result := range results {
		if isCleared(result) {
			until = append(until, result.cleared)
		}
	}
	cleared := simulate.Summary{}
	if len(until) > 0 {
		cleared = simulate.Summarize(until)
	}
	exposed := simulate.Summarize(simulate.Values(results, answersOf))
	r.Row(label, c.name, r.share(results, isStopped), r.share(results, isCleared),
		fmt.Sprintf("%.0f", cleared.Median), fmt.Sprintf("%.0f", cleared.Max), fmt.Sprintf("%.0f", exposed.Mean))
}

func isCleared(r result) bool { return r.cleared > 0 }

// largeHosts and largeRate are the size to design for. Few seeds do: a run
// has many hosts.
const (
	largeHosts = 440
	largeRate  = 14_000.0 / 20 // one model of twenty
	largeSeeds = 4
	largeTime  = time.Minute
	fanout     = 4
)

func (r *report) large() {
	r.head("440 hosts, 700 requests/s to the model, each sends to 4 others every second; 1 minute")
	seeds := r.seeds
	r.seeds = min(seeds, largeSeeds)
	for _, v := range badVersions {
		s := usualSetting(v)
		s.hosts = largeHosts
		s.rate = largeRate
		s.fanout = fanout
		s.horizon = largeTime
		for _, c := range []contender{unpaced, full, grants} {
			r.cell("-", s, c)
		}
	}
	r.seeds = seeds
}
