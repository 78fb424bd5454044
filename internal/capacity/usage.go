package capacity

// Usage is what a role takes. All but Commits and Reads are for one host.
type Usage struct {
	// State is what is kept in memory, in bytes.
	State float64
	// Messages and Bytes are control traffic per second, sent and received.
	Messages, Bytes float64
	// CPU is the control's part of a core.
	CPU float64
	// Commits and Reads are calls of the platform's table per second over all
	// hosts, those of the data path included.
	Commits, Reads float64
	// DataBytes, DataCPU and DataState are the same for the data path: requests,
	// bills, claims and logs. They aren't in the control's budget.
	DataBytes, DataCPU, DataState float64
}

func (u Usage) plus(v Usage) Usage {
	return Usage{
		State:     u.State + v.State,
		Messages:  u.Messages + v.Messages,
		Bytes:     u.Bytes + v.Bytes,
		CPU:       u.CPU + v.CPU,
		Commits:   u.Commits + v.Commits,
		Reads:     u.Reads + v.Reads,
		DataBytes: u.DataBytes + v.DataBytes,
		DataCPU:   u.DataCPU + v.DataCPU,
		DataState: u.DataState + v.DataState,
	}
}

// Budget bounds what control may take of a host, and all hosts of the table.
type Budget struct {
	CPU, Memory, Bytes, Commits, Reads float64
}

// Limits is the budget of the full size. "A few hundred" commits are taken as
// 300.
func Limits() Budget {
	return Budget{CPU: 0.017, Memory: 32 << 20, Bytes: 7000, Commits: 300, Reads: 2000}
}

// Resource names a part of the budget.
type Resource string

// The parts of the budget.
const (
	Processor Resource = "processor"
	Memory    Resource = "memory"
	Network   Resource = "network"
	Commits   Resource = "commits"
	Reads     Resource = "reads"
)

// Excess is a part of the budget that a usage is over.
type Excess struct {
	Resource Resource
	// Factor is the usage in multiples of the budget.
	Factor float64
}

// over returns the parts of the budget that u is over.
func (b Budget) over(u Usage) []Excess {
	var list []Excess
	check := func(resource Resource, used, limit float64) {
		if used > limit {
			list = append(list, Excess{Resource: resource, Factor: used / limit})
		}
	}
	check(Processor, u.CPU, b.CPU)
	check(Memory, u.State, b.Memory)
	check(Network, u.Bytes, b.Bytes)
	check(Commits, u.Commits, b.Commits)
	check(Reads, u.Reads, b.Reads)
	return list
}
