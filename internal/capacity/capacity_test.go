package capacity

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/peer"
)

// The committed files.
const (
	pageFile   = "../../docs/CAPACITY.md"
	slopesFile = "../../docs/capacity-slopes.json"
)

func committed(t *testing.T) *Slopes {
	t.Helper()
	slopes, err := Load(slopesFile)
	is.New(t).NoErr(err)
	return slopes
}

func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(pageFile)
	is.NoErr(err)
	want, err := Replace(string(page), Markdown(committed(t)))
	is.NoErr(err)
	if string(page) != want {
		t.Error("run: quetzalweir capacity --page docs/CAPACITY.md")
	}
}

// A page with another figure in its generated part isn't current.
func TestAnOldPageIsSeen(t *testing.T) {
	is := is.New(t)
	tables := Markdown(committed(t))
	page, err := Replace("a\n"+beginMark+endMark+"b\n", tables)
	is.NoErr(err)
	is.True(strings.HasPrefix(page, "a\n") && strings.HasSuffix(page, "b\n"))
	again, err := Replace(page, tables)
	is.NoErr(err)
	is.Equal(again, page)
	old := strings.Replace(page, "12,000", "12,001", 1)
	again, err = Replace(old, tables)
	is.NoErr(err)
	is.True(again != old)
	_, err = Replace("no marks", tables)
	is.True(errors.Is(err, ErrPage))
}

// What the arithmetic takes from unexported constants of other packages.
func TestCopiedConstants(t *testing.T) {
	is := is.New(t)
	is.Equal(clientIdle, int(peer.DefaultIdleTimeout.Seconds()/2))
	is.Equal(headInterval(7), config.DefaultPoll.Seconds())
	is.Equal(headInterval(440), 2.2)
	is.Equal(headInterval(4400), config.DefaultBound.Seconds()/2)
	is.Equal(confirmInterval(440), 11.0)
}

func TestEveryRoleHasFiguresAndAMechanism(t *testing.T) {
	slopes := committed(t)
	for _, r := range Roles() {
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			is.True(r.State != "" && r.Mechanism != "" && r.Status != "")
			for _, size := range []Size{Today(), Full()} {
				for _, use := range []func(Role, *Model) Usage{asBuilt, carried} {
					u := use(r, NewModel(size, slopes))
					is.True(u != Usage{})
					for _, x := range []float64{u.State, u.Messages, u.Bytes, u.CPU, u.Commits, u.Reads, u.DataBytes, u.DataCPU, u.DataState} {
						is.True(x >= 0)
					}
				}
			}
		})
	}
}

// The lines of the committed file are those of its points: none was edited.
func TestLinesFitTheirPoints(t *testing.T) {
	for _, s := range committed(t).List {
		base, rise, deviation := Fit(s.Points)
		const tolerance = 1e-6
		if abs(base-s.Base) > tolerance*abs(base) || abs(rise-s.Rise) > tolerance*rise || abs(deviation-s.Deviation) > tolerance {
			t.Errorf("%s: have %v + %v x, off by %v; the points give %v + %v x, %v", s.ID, s.Base, s.Rise, s.Deviation, base, rise, deviation)
		}
	}
}

func TestParseNamesWhatIsMissing(t *testing.T) {
	is := is.New(t)
	slopes := committed(t)
	slopes.List = slopes.List[1:]
	data, err := slopes.Encode()
	is.NoErr(err)
	_, err = Parse(data)
	is.True(errors.Is(err, ErrSlopes))
	is.True(strings.Contains(err.Error(), string(committed(t).List[0].ID)))
	_, err = Parse([]byte("{"))
	is.True(errors.Is(err, ErrSlopes))
}

func TestFit(t *testing.T) {
	for _, tc := range []struct {
		desc       string
		points     []Point
		base, rise float64
	}{
		{"one point", []Point{{0, 5}}, 5, 0},
		{"one point away from zero", []Point{{7, 5}}, 5, 0},
		{"a line", []Point{{1, 12}, {10, 30}, {100, 210}}, 10, 2},
		{"below zero at zero", []Point{{1, 0.5}, {10, 5}, {10, 5}}, 0, 0.5},
		{"falling", []Point{{1, 5}, {1, 5}, {9, 5}, {10, 5}}, 5, 0},
		{"the same X", []Point{{3, 4}, {3, 4}}, 4, 0},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			base, rise, deviation := Fit(tc.points)
			const tolerance = 1e-6
			is.True(abs(base-tc.base) < tolerance)
			is.True(abs(rise-tc.rise) < tolerance)
			is.True(deviation < tolerance)
		})
	}
	_, _, deviation := Fit([]Point{{1, 10}, {2, 20}, {3, 60}})
	is.New(t).True(deviation > 0.1) // a bend shows
	base, rise, _ := Fit([]Point{{10, 1}, {100, 100}})
	is.New(t).True(base == 0 && rise > 0)
	base, rise, _ = Fit([]Point{{10, 100}, {100, 50}})
	is.New(t).True(rise == 0 && base > 50 && base < 100)
}

func TestBetweenMeetsBothSizes(t *testing.T) {
	is := is.New(t)
	for _, size := range []Size{Today(), Full()} {
		got := Between(size.Hosts)
		is.True(abs(got.Upstreams-size.Upstreams) < 1e-6*size.Upstreams)
		is.True(abs(got.Requests-size.Requests) < 1e-6*size.Requests)
		is.True(abs(got.Accounts-size.Accounts) < 1e-6*size.Accounts)
	}
	is.True(Between(100).Upstreams > Today().Upstreams && Between(100).Upstreams < Full().Upstreams)
}

func TestFirstLimit(t *testing.T) {
	budget := Limits()
	for _, tc := range []struct {
		desc     string
		use      func(*Model) Usage
		hosts    float64
		resource Resource
	}{
		{"each host adds a commit", func(m *Model) Usage { return Usage{Commits: m.Size.Hosts} }, budget.Commits + 1, Commits},
		{"bytes to each host", func(m *Model) Usage { return Usage{Bytes: 100 * m.Size.Hosts} }, budget.Bytes/100 + 1, Network},
		{"over it from the start", func(*Model) Usage { return Usage{CPU: 1} }, smallest, Processor},
		{"memory before reads", func(m *Model) Usage { return Usage{State: 1e6 * m.Size.Hosts, Reads: m.Size.Hosts} }, 34, Memory},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			limit, ok := firstLimit(nil, tc.use)
			is.True(ok)
			is.Equal(limit.Hosts, tc.hosts)
			is.Equal(limit.Resource, tc.resource)
			is.True(limit.Factor > 1)
		})
	}
	_, ok := firstLimit(nil, func(*Model) Usage { return Usage{Commits: budget.Commits} })
	is.New(t).True(!ok) // at the budget isn't over it
}

func TestExtrapolated(t *testing.T) {
	is := is.New(t)
	slopes := &Slopes{List: []Slope{
		{ID: PollMemory, Varied: "upstreams", Rise: 2, Points: []Point{{X: 10}, {X: 100}}},
		{ID: GetBytes, Varied: "bytes of the value", Points: []Point{{X: 10}, {X: 100}}},
		{ID: CallBytes, Base: 3, Points: []Point{{}}},
	}}
	m := NewModel(Full(), slopes)
	is.Equal(m.at(PollMemory, 200), 400.0)
	m.at(GetBytes, 50)
	is.Equal(m.constant(CallBytes), 3.0)
	is.Equal(m.extrapolated(), []Extrapolation{{ID: PollMemory, Measured: 100, Used: 200}})
	is.Equal(m.ids(), []ID{GetBytes, PollMemory, CallBytes})
}

func TestNumbers(t *testing.T) {
	for x, want := range map[float64]string{
		0: "0", 0.000123: "0.00012", 0.5: "0.5", 1.5: "1.5", 2: "2", 12.34: "12.3", 345.6: "346",
		1234: "1,230", 12_345_678: "12,300,000", -108_000: "-108,000",
	} {
		t.Run(want, func(t *testing.T) { is.New(t).Equal(number(x), want) })
	}
	is := is.New(t)
	is.Equal(size(999), "999 B")
	is.Equal(size(1500), "1.5 KB")
	is.Equal(size(32<<20), "33.6 MB")
	is.Equal(size(2.5e9), "2.5 GB")
}

func Example() {
	size := Full()
	fmt.Printf("%.1f requests/s and %.0f answers under way on each of %.0f hosts\n",
		size.requestsPerHost(), size.streamsPerHost(), size.Hosts)
	base, rise, _ := Fit([]Point{{X: 10, Y: 130}, {X: 100, Y: 400}})
	fmt.Printf("%.0f µs at 1,000 accounts\n", Slope{Base: base, Rise: rise}.At(1000))
	// Output:
	// 31.8 requests/s and 395 answers under way on each of 440 hosts
	// 3100 µs at 1,000 accounts
}
