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
		desc  string
		input decisionInput
		want  decision
	}{
		{
			desc:  "a first host takes its reserve",
			input: decisionInput{demandStats: demandStats{minSlots: 1}, free: Slots, hosts: 1},
			want:  decision{slots: Slots / 2},
		},
		{
			desc:  "without demand, a host takes no slots if the fair share allows no request",
			input: decisionInput{demandStats: demandStats{minSlots: fair + 1}, free: Slots, hosts: 4},
			want:  decision{},
		},
		{
			desc:  "demand is met with headroom while slots are free",
			input: decisionInput{demandStats: demandStats{minSlots: 1, demandSlots: 1200, refused: true}, held: 600, free: 2000, hosts: 4},
			want:  decision{slots: 1800},
		},
		{
			desc:  "without free slots the shortage is recorded",
			input: decisionInput{demandStats: demandStats{minSlots: 1, demandSlots: 1000, refused: true}, held: 600, hosts: 4},
			want:  decision{slots: 600, shortage: 600},
		},
		{
			desc:  "free slots beyond the fair share are left to hosts that are short",
			input: decisionInput{demandStats: demandStats{minSlots: 1, demandSlots: 1200, refused: true}, held: fair, free: 500, hosts: 4, othersShortage: 400},
			want:  decision{slots: fair + 100, shortage: 1440 - fair - 100},
		},
		{
			desc:  "slots that aren't needed are given back",
			input: decisionInput{demandStats: demandStats{minSlots: 1, demandSlots: 100}, held: 2000, hosts: 4},
			want:  decision{slots: fair / 2},
		},
		{
			desc:  "a small surplus is kept",
			input: decisionInput{demandStats: demandStats{minSlots: 1, demandSlots: 600}, held: 1000, hosts: 4},
			want:  decision{slots: 1000},
		},
		{
			desc:  "a small surplus is given up while others are short",
			input: decisionInput{demandStats: demandStats{minSlots: 1, demandSlots: 600}, held: 1000, hosts: 4, othersShortage: 2000},
			want:  decision{slots: 720},
		},
		{
			desc:  "hosts above the fair share give up slots in proportion for those below it",
			input: decisionInput{demandStats: demandStats{minSlots: 1, demandSlots: 4000, refused: true}, held: fair + 600, hosts: 4, othersShortage: 300, othersEntitled: 300, othersExcess: 300},
			want:  decision{slots: fair + 400, shortage: Slots - fair - 400},
		},
		{
			desc:  "slots lent out aren't given back",
			input: decisionInput{demandStats: demandStats{minSlots: 1, lentSlots: 1500}, held: 2000, hosts: 4},
			want:  decision{slots: 1500},
		},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			is.New(t).Equal(decide(tc.input), tc.want)
		})
	}
}

func TestDecideTakesOnlyWhatIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, Slots)
		input := decisionInput{
			demandStats: demandStats{
				demandSlots: rapid.Float64Range(0, 2*Slots).Draw(t, "demand"),
				refused:     rapid.Bool().Draw(t, "refused"),
				minSlots:    rapid.IntRange(1, Slots).Draw(t, "least"),
			},
			held:           number.Draw(t, "held"),
			hosts:          rapid.IntRange(0, 500).Draw(t, "hosts"),
			othersShortage: number.Draw(t, "wanted"),
			othersEntitled: number.Draw(t, "entitled"),
			othersExcess:   number.Draw(t, "excess"),
		}
		input.free = rapid.IntRange(0, Slots-input.held).Draw(t, "free")
		input.lentSlots = rapid.IntRange(0, input.held).Draw(t, "lent")
		d := decide(input)
		if d.slots < input.lentSlots || d.slots > input.held+input.free || d.shortage < 0 {
			t.Fatalf("%+v for %+v", d, input)
		}
	})
}
