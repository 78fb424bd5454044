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
	// Seeds is the number of runs for each table row; 0 means DefaultSeeds.
	Seeds int
}

// namedPolicy is a compared policy with its name in the tables.
type namedPolicy struct {
	name  string
	build clusterBuilder
}

var (
	sharedPaced      = namedPolicy{"evidence shared, paced", newTrackers(variant{})}
	sharedGranted    = namedPolicy{"the same, budget granted by the table", newTrackers(variant{granted: true})}
	grantedTableDown = namedPolicy{"granted, the table down after a second", newTrackers(variant{granted: true, tableDown: true})}
	sharedUnpaced    = namedPolicy{"evidence shared, not paced", newTrackers(variant{unpaced: true})}
	stopsSharedPaced = namedPolicy{"stops shared only, paced", newTrackers(variant{stopsOnly: true})}
	unsharedPaced    = namedPolicy{"nothing shared, paced", newTrackers(variant{noExchange: true})}
	unsharedUnpaced  = namedPolicy{"nothing shared, not paced", newTrackers(variant{noExchange: true, unpaced: true})}
	perHostCanary    = namedPolicy{"share-based canary, each host by itself", newHostCanaries}
)

// usualSetting returns the setting that the tables vary.
func usualSetting(version versionBehaviour) setting {
	return setting{
		version:          version,
		hostCount:        7,
		exchangeInterval: time.Second,
		raterDelay:       2 * time.Second,
		ratedShare:       1,
	}
}

// Run runs the experiment and prints all tables in Markdown.
func Run(w io.Writer, options Options) error {
	if options.Seeds <= 0 {
		options.Seeds = DefaultSeeds
	}
	r := &report{Tables: simulate.NewTables(w), seedCount: options.Seeds}
	r.printMechanisms()
	r.printHostCounts()
	r.printExchangeIntervals()
	r.printRaterDelays()
	r.printTurnsBad()
	r.printGoodVersions()
	r.printLargeDeployment()
	r.printComparisons()
	return r.Err()
}

type report struct {
	*simulate.Tables
	seedCount int
}

func (r *report) startTable(title string) {
	r.Section(title)
	r.Header(3, "version", "setting", "policy", "answers, mean", "median", "worst", "bad ones, mean", "stopped")
}

// printRow runs a setting under a policy with all seeds and prints the row.
func (r *report) printRow(label string, s setting, c namedPolicy) {
	results := r.runSeeds(s, c)
	exposed := simulate.Summarize(simulate.Values(results, exposedAnswers))
	bad := simulate.Summarize(simulate.Values(results, func(r result) float64 { return r.badAnswers }))
	r.Row(s.version.name, label, c.name, fmt.Sprintf("%.1f", exposed.Mean), fmt.Sprintf("%.0f", exposed.Median),
		fmt.Sprintf("%.0f", exposed.Max), fmt.Sprintf("%.1f", bad.Mean), r.fraction(results, isStopped))
}

func exposedAnswers(r result) float64 { return r.answers }

func isStopped(r result) bool { return r.stopped }

// fraction formats how many of the runs fulfil the condition.
func (r *report) fraction(results []result, condition func(result) bool) string {
	n := 0
	for _, result := range results {
		if condition(result) {
			n++
		}
	}
	return fmt.Sprintf("%d/%d", n, r.seedCount)
}

func (r *report) runSeeds(s setting, c namedPolicy) []result {
	return simulate.RunSeeds(r.seedCount, func(seed int) result { return run(s, c.build, seed) })
}

func (r *report) printMechanisms() {
	r.startTable("What each mechanism does: 7 hosts, exchange every second")
	for _, v := range badVersions {
		for _, c := range []namedPolicy{perHostCanary, unsharedUnpaced, unsharedPaced, stopsSharedPaced, sharedUnpaced, sharedPaced, sharedGranted} {
			r.printRow("-", usualSetting(v), c)
		}
	}
}

func (r *report) printHostCounts() {
	r.startTable("Number of hosts, and hosts cut from each other")
	for _, v := range badVersions {
		for _, hosts := range []int{1, 3, 7} {
			s := usualSetting(v)
			s.hostCount = hosts
			r.printRow(fmt.Sprint("hosts: ", hosts), s, sharedPaced)
		}
		s := usualSetting(v)
		s.partitioned = 3
		r.printRow("7 hosts, 3 of them cut from all", s, sharedPaced)
		r.printRow("7 hosts, 3 of them cut from all", s, sharedGranted)
		s.partitioned = 7
		r.printRow("7 hosts, all cut", s, sharedPaced)
		r.printRow("7 hosts, all cut", s, sharedGranted)
		r.printRow("7 hosts, all cut", s, grantedTableDown)
		r.printRow("7 hosts, all cut", s, perHostCanary)
	}
}

func (r *report) printExchangeIntervals() {
	r.startTable("Exchange interval, 7 hosts")
	for _, v := range badVersions {
		for _, interval := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second} {
			s := usualSetting(v)
			s.exchangeInterval = interval
			r.printRow(interval.String(), s, sharedPaced)
		}
	}
}

func (r *report) printRaterDelays() {
	r.startTable("A slow rater, or few answers rated, 7 hosts")
	poor := badVersions[len(badVersions)-1]
	for _, delay := range []time.Duration{2 * time.Second, 30 * time.Second, 2 * time.Minute} {
		for _, share := range []float64{1, 0.2} {
			s := usualSetting(poor)
			s.raterDelay = delay
			s.ratedShare = share
			label := fmt.Sprintf("rating after %v, %.0f%% rated", delay, 100*share)
			for _, c := range []namedPolicy{perHostCanary, sharedUnpaced, sharedPaced} {
				r.printRow(label, s, c)
			}
		}
	}
	s := usualSetting(poor)
	s.ratedShare = 0
	r.printRow("rater down", s, sharedUnpaced)
	r.printRow("rater down", s, sharedPaced)
}

func (r *report) printTurnsBad() {
	r.startTable("A version that turns bad after 5 minutes, once cleared; answers after that")
	for _, v := range badVersions {
		v.turnsBadAfter = defaultHorizon / 2
		for _, c := range []namedPolicy{perHostCanary, unsharedPaced, sharedPaced} {
			r.printRow("-", usualSetting(v), c)
		}
	}
}

// printGoodVersions prints how often a good version is stopped, and after how
// many answers it is cleared.
func (r *report) printGoodVersions() {
	r.Section("A good version, 10 minutes")
	r.Header(2, "setting", "policy", "falsely stopped", "cleared", "answers until cleared, median", "worst", "answers in all, mean")
	nearLimit := goodVersion
	nearLimit.errorRate = 0.015
	for _, v := range []versionBehaviour{goodVersion, nearLimit} {
		s := usualSetting(v)
		for _, c := range []namedPolicy{perHostCanary, unsharedPaced, sharedPaced, sharedGranted} {
			r.printGoodRow(fmt.Sprintf("%.1f%% errors of 2%% permitted", 100*v.errorRate), s, c)
		}
		s.ratedShare = 0.2
		r.printGoodRow(fmt.Sprintf("%.1f%% errors, 20%% rated", 100*v.errorRate), s, sharedPaced)
	}
}

func (r *report) printGoodRow(label string, s setting, c namedPolicy) {
	results := r.runSeeds(s, c)
	var answersUntilCleared []float64
	for _, result := range results {
		if isCleared(result) {
			answersUntilCleared = append(answersUntilCleared, result.clearedAfter)
		}
	}
	cleared := simulate.Summary{}
	if len(answersUntilCleared) > 0 {
		cleared = simulate.Summarize(answersUntilCleared)
	}
	exposed := simulate.Summarize(simulate.Values(results, exposedAnswers))
	r.Row(label, c.name, r.fraction(results, isStopped), r.fraction(results, isCleared),
		fmt.Sprintf("%.0f", cleared.Median), fmt.Sprintf("%.0f", cleared.Max), fmt.Sprintf("%.0f", exposed.Mean))
}

func isCleared(r result) bool { return r.clearedAfter > 0 }

// largeHostCount and largeRate are the number of hosts and the request rate that the
// system is designed for. A few seeds suffice, since each run has many hosts.
const (
	largeHostCount = 440
	largeRate      = 14_000.0 / 20 // requests/s to one of 20 models
	largeSeedCount = 4
	largeHorizon   = time.Minute
	largeFanout    = 4
)

func (r *report) printLargeDeployment() {
	r.startTable("440 hosts, 700 requests/s to the model, each sends to 4 others every second; 1 minute")
	seeds := r.seedCount
	r.seedCount = min(seeds, largeSeedCount)
	for _, v := range badVersions {
		s := usualSetting(v)
		s.hostCount = largeHostCount
		s.requestRate = largeRate
		s.fanout = largeFanout
		s.horizon = largeHorizon
		for _, c := range []namedPolicy{sharedUnpaced, sharedPaced, sharedGranted} {
			r.printRow("-", s, c)
		}
	}
	r.seedCount = seeds
}
