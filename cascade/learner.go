package cascade

import (
	"math/bits"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/quetzalweir/quetzalweir/storage"
)

const (
	learnerShards = 16
	// DefaultGroups is the default of Options.Groups.
	DefaultGroups = 4096
)

// Options are the settings of a Learner.
type Options struct {
	// Clock is the source of time; nil means time.Now.
	Clock storage.Clock
	// Seed seeds the random exploration, which makes it reproducible.
	Seed uint64
	// Policy holds the parameters of the decisions.
	Policy Policy
	// Groups is the maximum number of request groups whose statistics are
	// kept; 0 means DefaultGroups. The statistics of a group take about 400
	// bytes for each step.
	Groups int
}

// Sample is the observed result of one answer of a step.
type Sample struct {
	Cascade string
	Account string
	Class   string
	// PromptTokens is the length of the prompt in tokens. It is 0 if unknown.
	PromptTokens int
	// Step is the index of the step among all steps of the cascade.
	Step int
	// Escalated is true if the request was escalated to this step from the
	// previous one.
	Escalated bool
	// Rating is from 0 to 1, or Unrated.
	Rating float64
	// Latency is the time to the complete answer. It is 0 if not measured.
	Latency time.Duration
}

// Learner keeps statistics and decides from them. It is safe for concurrent use.
// Its state needn't be persisted.
type Learner struct {
	policy Policy
	clock  storage.Clock
	shards [learnerShards]shard
	rater  raterRecord
	random randomSource
}

type shard struct {
	mu     sync.Mutex
	groups *simplelru.LRU[group, *groupRecord]
}

// randomSource is a seeded random source guarded by a mutex.
type randomSource struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// group identifies a group of requests. An empty account means all accounts, an
// empty class all classes, and sizeClass 0 all prompt lengths.
type group struct {
	cascade   string
	account   string
	class     string
	sizeClass int
}

// groupsOf returns the groups that a request belongs to, the widest first. The
// estimate from each group is the prior of the estimate from the next group.
func groupsOf(cascade, account, class string, promptTokens int) []group {
	groups := []group{
		{cascade: cascade},
		{cascade: cascade, account: account, class: class},
	}
	if promptTokens > 0 {
		groups = append(groups, group{cascade, account, class, sizeClass(promptTokens)})
	}
	return groups
}

// sizeClass returns the size class of a prompt length, from 1 up. The upper bound
// of each size class is four times its lower bound.
func sizeClass(tokens int) int { return (bits.Len(uint(tokens)) + 1) / 2 }

// NewLearner returns a Learner without statistics.
func NewLearner(options Options) *Learner {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Groups <= 0 {
		options.Groups = DefaultGroups
	}
	l := &Learner{policy: options.Policy, clock: options.Clock}
	l.random.rnd = rand.New(rand.NewPCG(options.Seed, 0))
	for i := range l.shards {
		size := max(1, options.Groups/learnerShards)
		groups, err := simplelru.NewLRU[group, *groupRecord](size, nil)
		if err != nil {
			panic(err) // can't happen: the size is positive
		}
		l.shards[i].groups = groups
	}
	return l
}

// Learn records an answer of a step. Callers that don't distinguish cascades
// and prompt lengths use it in place of Observe. An answer of a step above 0
// counts as escalated.
func (l *Learner) Learn(account, class string, step int, rating float64, latency time.Duration) {
	l.Observe(Sample{
		Account:   account,
		Class:     class,
		Step:      step,
		Escalated: step > 0,
		Rating:    rating,
		Latency:   latency,
	})
}

// Observe records an answer of a step.
func (l *Learner) Observe(s Sample) {
	now := l.clock()
	for _, g := range groupsOf(s.Cascade, s.Account, s.Class, s.PromptTokens) {
		l.withGroup(g, now, func(r *groupRecord) { r.record(s) })
	}
}

// withGroup calls f with the statistics of a group, which are created if needed
// and decayed to now.
func (l *Learner) withGroup(g group, now time.Time, f func(*groupRecord)) {
	shard := l.shard(g)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	record, ok := shard.groups.Get(g)
	if !ok {
		record = &groupRecord{decayedAt: now}
		shard.groups.Add(g, record)
	}
	record.decay(now)
	f(record)
}

func (l *Learner) shard(g group) *shard {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(g.cascade)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(g.account)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(g.class)
	return &l.shards[d.Sum64()%learnerShards]
}

// ObserveRater records how long a rating took, and whether the rater returned it
// within the timeout.
func (l *Learner) ObserveRater(took time.Duration, ok bool) {
	l.rater.observe(took, ok, l.clock())
}

// Decide sets the view's statistics and returns the policy's plan.
func (l *Learner) Decide(v View) Plan {
	v.Stats = l.stats(&v)
	v.Rater = l.rater.stats(l.clock())
	l.random.mu.Lock()
	defer l.random.mu.Unlock()
	return l.policy.Decide(v, l.random.rnd)
}

// stats returns the estimates for each step from the narrowest group of the
// request, with the estimates from wider groups as priors.
func (l *Learner) stats(v *View) []StepStats {
	estimates := make([]StepStats, len(v.Steps))
	for i := range estimates {
		estimates[i] = StepStats{AcceptProbability: defaultAcceptProbability, EscalatedAcceptProbability: defaultAcceptProbability}
	}
	now := l.clock()
	for _, g := range groupsOf(v.Cascade, v.Account, v.Class, v.PromptTokens) {
		l.withGroup(g, now, func(r *groupRecord) { r.refineEstimates(estimates, v.Target) })
	}
	return estimates
}

// refineEstimates replaces the estimates by those from this group, with the
// previous ones, which are from the next wider group, as priors.
func (r *groupRecord) refineEstimates(estimates []StepStats, target float64) {
	for i := range min(len(estimates), len(r.steps)) {
		step, estimate := &r.steps[i], &estimates[i]
		estimate.AcceptProbability = step.startedRatings.probability(target, estimate.AcceptProbability)
		estimate.EscalatedAcceptProbability = step.escalatedRatings.probability(target, estimate.EscalatedAcceptProbability)
		estimate.Samples = step.startedRatings.total
		if step.latency > 0 {
			estimate.Latency = time.Duration(step.latency * float64(time.Second))
		}
	}
}
