package history

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func TestRecorderRoundTrip(t *testing.T) {
	is := is.New(t)
	r := NewRecorder()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				r.Add(withdrawing(accepted(1, "a", v1), v2))
			}
		})
	}
	group.Wait()
	var file bytes.Buffer
	is.NoErr(Write(&file, r.Events()))
	read, err := Read(&file)
	is.NoErr(err) // in order, without a gap
	is.Equal(len(read), 800)
	is.Equal(read, r.Events())
}

func TestReadRefusesPartsOfARecord(t *testing.T) {
	tests := []struct {
		desc, text string
		ordered    bool
	}{
		{"gap", `{"seq":1,"at":1}` + "\n" + `{"seq":3,"at":2}`, false},
		{"start is missing", `{"seq":2,"at":1}`, false},
		{"time decreases", `{"seq":1,"at":2}` + "\n" + `{"seq":2,"at":1}`, false},
		{"truncated line", `{"seq":1,"at":1`, true},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := Read(strings.NewReader(tc.text))
			is.New(t).True(err != nil)
			is.New(t).Equal(errors.Is(err, ErrOrder), !tc.ordered)
		})
	}
}

func BenchmarkAdd(b *testing.B) {
	r := NewRecorder()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Add(sent("r1"))
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	var events []Event
	events = append(events, accepted(1, "a", v1))
	for i := range 20_000 {
		id := "r" + string(rune(i+256))
		events = append(events, sentInSession(id), arrived(id, v1), ran(id), answeredBy(id, v1), billed(id, id))
	}
	events = numbered(events...)
	for b.Loop() {
		if found := Check(events, Bounds{}); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(events)), "ns/event")
}
