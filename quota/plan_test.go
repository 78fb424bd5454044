package quota

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
)

func TestDecide(t *testing.T) {
	const fair = Slots / 4
	cases := []struct {
		desc string
		view view
		want decision
	}{
		{
			desc: "a first host takes its standing part",
			view: view{needs: needs{least: 1}, free: Slots, hosts: 1},
			want: decision{slots: Slots / 2},
		},
		{
			desc: "a small burst for many hosts is taken on demand only",
			view: view{needs: needs{least: fair + 1}, free: Slots, hosts: 4},
			want: decision{},
		},
		{
			desc: "demand is met with headroom while slots are free",
			view: view{needs: needs{least: 1, slots: 1200, refused: true}, held: 600, free: 2000, hosts: 4},
			want: decision{slots: 1800},
		},
		{
			desc: "without free slots the shortage is written down",
			view: view{needs: needs{least: 1, slots: 1000, refused: true}, held: 600, hosts: 4},
			want: decision{slots: 600, wants: 600},
		},
		{
			desc: "free slots beyond the fair part are left to those who want them",
			view: view{needs: needs{least: 1, slots: 1200, refused: true}, held: fair, free: 500, hosts: 4, wanted: 400},
			want: decision{slots: fair + 100, wants: 1440 - fair - 100},
		},
		{
			desc: "what isn't needed is given back",
			view: view{needs: needs{least: 1, slots: 100}, held: 2000, hosts: 4},
			want: decision{slots: fair / 2},
		},
		{
			desc: "a little too much is kept",
			view: view{needs: needs{least: 1, slots: 600}, held: 1000, hosts: 4},
			want: decision{slots: 1000},
		},
		{
			desc: "a little too much is given up where others are short",
			view: view{needs: needs{least: 1, slots: 600}, held: 1000, hosts: 4, wanted: 2000},
			want: decision{slots: 720},
		},
		{
			desc: "more than the fair part is given up in proportion for those below it",
			view: view{needs: needs{least: 1, slots: 4000, refused: true}, held: fair + 600, hosts: 4, wanted: 300, entitled: 300, excess: 300},
			want: decision{slots: fair + 400, wants: Slots - fair - 400},
		},
		{
			desc: "slots lent out aren't given back",
			view: view{needs: needs{least: 1, lent: 1500}, held: 2000, hosts: 4},
			want: decision{slots: 1500},
		},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			is.New(t).Equal(decide(tc.view), tc.want)
		})
	}
}

func TestDecideTakesOnlyWhatIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, Slots)
		v := view{
			needs: needs{
				slots:   rapid.Float64Range(0, 2*Slots).Draw(t, "demand"),
				refused: rapid.Bool().Draw(t, "refused"),
				least:   rapid.IntRange(1, Slots).Draw(t, "least"),
			},
			held:     number.Draw(t, "held"),
			hosts:    rapid.IntRange(0, 500).Draw(t, "hosts"),
			wanted:   number.Draw(t, "wanted"),
			entitled: number.Draw(t, "entitled"),
			excess:   number.Draw(t, "excess"),
		}
		v.free = rapid.IntRange(0, Slots-v.held).Draw(t, "free")
		v.lent = rapid.IntRange(0, v.held).Draw(t, "lent")
		d := decide(v)
		if d.slots < v.lent || d.slots > v.held+v.free || d.wants < 0 {
			t.Fatalf("%+v for %+v", d, v)
		}
	})
}
