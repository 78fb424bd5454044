package capacity

import "math"

// micro turns microseconds a second into a part of a core.
const micro = 1e-6

// base64 is what JSON makes of a byte of a row's value.
const base64 = 4.0 / 3

// gets is what a host takes for reads of rows, rate a second, of values of a
// size in bytes.
func (m *Model) gets(rate, value float64) Usage {
	return Usage{
		Messages: 2 * rate,
		Bytes:    rate * m.at(GetBytes, value),
		CPU:      rate * m.at(GetCPU, value) * micro,
		Reads:    rate * m.Size.Hosts,
	}
}

// commits is the same for commits of one row.
func (m *Model) commits(rate, value float64) Usage {
	return Usage{
		Messages: 2 * rate,
		Bytes:    rate * m.at(CommitBytes, value),
		CPU:      rate * m.at(CommitCPU, value) * micro,
		Commits:  rate * m.Size.Hosts,
	}
}

// lists is the same for lists of n rows in pages of at most page rows; the
// rows are of 256 bytes.
func (m *Model) lists(rate, n, page float64) Usage {
	pages := math.Floor(n/page) + 1
	empty, emptyCPU := m.at(ListBytes, 0), m.at(ListCPU, 0)
	perPage := n / pages
	return Usage{
		Messages: 2 * rate * pages,
		Bytes:    rate * (pages*empty + pages*(m.at(ListBytes, perPage)-empty)),
		CPU:      rate * (pages*emptyCPU + pages*(m.at(ListCPU, perPage)-emptyCPU)) * micro,
		Reads:    rate * pages * m.Size.Hosts,
	}
}

// asData moves control traffic to the data path.
func (u Usage) asData() Usage {
	return Usage{
		Commits:   u.Commits,
		Reads:     u.Reads,
		DataBytes: u.Bytes + u.DataBytes,
		DataCPU:   u.CPU + u.DataCPU,
		DataState: u.State + u.DataState,
	}
}
