package balance

// Default weights of NewSelector's scorers.
const (
	loadWeight    = 1.0
	errorWeight   = 1.0
	latencyWeight = 0.5
	zoneWeight    = 0.1
	prefixWeight  = 1.6
	sessionWeight = 0.8
)

// NewSelector returns the default chain, with prefix affinity by the matcher.
func NewSelector(matcher PrefixMatcher) *Selector {
	return &Selector{
		Filters: []Filter{
			VersionFilter{},
			LeavingFilter{},
			BackoffFilter{},
			ExcludedFilter{},
			EjectedFilter{},
			CapacityFilter{},
		},
		AffinityScorers: []WeightedScorer{
			{Scorer: PrefixScorer{Matcher: matcher}, Weight: prefixWeight},
			{Scorer: SessionScorer{}, Weight: sessionWeight},
		},
		Scorers: []WeightedScorer{
			{Scorer: LoadScorer{}, Weight: loadWeight},
			{Scorer: ErrorScorer{}, Weight: errorWeight},
			{Scorer: LatencyScorer{}, Weight: latencyWeight},
			{Scorer: ZoneScorer{}, Weight: zoneWeight},
		},
		Picker: PowerOfTwo{},
	}
}
