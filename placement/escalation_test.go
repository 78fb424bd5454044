package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRequiredConfidence(t *testing.T) {
	tests := []struct {
		desc     string
		expected time.Duration
		target   time.Duration
		pressure float64
		want     float64
		// saturation is 0 where requests aren't held.
		saturation float64
	}{
		{"in time", 500 * time.Millisecond, time.Second, 0, 50, 0},
		{"in time, under pressure", 500 * time.Millisecond, time.Second, 5, 50, 0},
		{"just in time", 900 * time.Millisecond, time.Second, 0.3, 50, 0},
		{"late, no queueing", 1200 * time.Millisecond, time.Second, 0, 15, 0},
		{"late, some queueing", 1200 * time.Millisecond, time.Second, 0.3, 7.5, 0},
		{"late, long queues", 1200 * time.Millisecond, time.Second, 2, 0, 0},
		{"no target", time.Minute, 0, 2, 50, 0},
		{"half of the new requests can't begin in time", 500 * time.Millisecond, time.Second, 0, 30, 0.5},
		{"no new request can begin in time", 500 * time.Millisecond, time.Second, 0, 10, 1},
		{"late, no new request can begin in time", 1200 * time.Millisecond, time.Second, 0, 10, 1},
		{"late under pressure, no new request can begin in time", 1200 * time.Millisecond, time.Second, 2, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			escalation := Escalation{Threshold: 50, ExpectedTime: test.expected, Target: test.target, Pressure: test.pressure, Saturation: test.saturation}
			got := escalation.RequiredConfidence()
			is.New(t).True(got > test.want-1e-9 && got < test.want+1e-9)
		})
	}
}
