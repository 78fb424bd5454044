package gateway

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/boottime"
	"github.com/quetzalweir/quetzalweir/quarantine"
	"github.com/quetzalweir/quetzalweir/returnschedule"
)

var rejectedForCapacity = returnRequest{service: "svc", digest: quarantine.Digest{1}, work: 50 * time.Millisecond, earliest: time.Second, remaining: 9 * time.Second}

func newReturnTimes(t *testing.T, mode FeatureMode) *returnTimes {
	tg := newTestGateway(t, testDocument())
	tg.gateway.settings.Features.ReturnSchedule = mode
	return &tg.gateway.returns
}

// A service whose engines don't state the fourth load figure, and a host with the feature off, must
// give the default time and no request precedence, also if another host sends reservations.
func TestReturnTimesAreOffByDefault(t *testing.T) {
	for _, mode := range []FeatureMode{"", FeatureAuto, FeatureOff, "zero value"} {
		is := is.New(t)
		r := new(returnTimes)
		if mode != "zero value" {
			r = newReturnTimes(t, mode)
		}
		now := boottime.Now()
		r.recordSent("svc", time.Second, now)
		is.Equal(r.reserve(rejectedForCapacity, now), time.Duration(0))
		r.addRemote([]returnschedule.Promise{{Key: returnschedule.KeyOf("svc", rejectedForCapacity.digest), Due: now}})
		is.True(!r.redeem("svc", rejectedForCapacity.digest, now))
		is.Equal(len(r.takeNew()), 0)
	}
}

// The request is recognized at the host that rejected it and at another one, and operators can
// count it by when it arrived.
func TestCallerReturnsInItsWindow(t *testing.T) {
	is := is.New(t)
	rejecting, other := newReturnTimes(t, FeatureOn), newReturnTimes(t, FeatureOn)
	now := boottime.Now()
	for range 20 {
		rejecting.recordSent("svc", 50*time.Millisecond, now)
	}
	after := rejecting.reserve(rejectedForCapacity, now)
	is.True(after >= time.Second && after <= 3*time.Second)
	other.addRemote(rejecting.takeNew())
	digest := rejectedForCapacity.digest
	is.True(!other.redeem("svc", digest, now.Add(after/2)))
	is.True(!other.redeem("svc", quarantine.Digest{2}, now.Add(after)))
	is.True(other.redeem("svc", digest, now.Add(after)))
	is.True(!other.redeem("svc", digest, now.Add(after)))
	is.True(rejecting.redeem("svc", digest, now.Add(after)))
	var text bytes.Buffer
	other.gateway.metrics.write(&text)
	rejecting.gateway.metrics.write(&text)
	for _, line := range []string{
		`quetzalweir_gateway_returns_total{service="svc",kind="early"} 1`,
		`quetzalweir_gateway_returns_total{service="svc",kind="in-window"} 1`,
		`quetzalweir_gateway_return_times_total{service="svc",outcome="reserved"} 1`,
		`quetzalweir_gateway_return_reservations 1`,
	} {
		is.True(strings.Contains(text.String(), line+"\n"))
	}
}

// The capacity is what the host sent: as many callers return in a second as it sent requests, and
// fewer once the engines are gone.
func TestCapacityFollowsWhatTheHostSent(t *testing.T) {
	is := is.New(t)
	r := newReturnTimes(t, FeatureOn)
	now := boottime.Now()
	count := func(now time.Time, first byte) (n int) {
		for i := range byte(100) {
			request := rejectedForCapacity
			request.digest = quarantine.Digest{first, i}
			if r.reserve(request, now) < 2*time.Second {
				n++
			}
		}
		return n
	}
	for i := range 200 { // 1 s of engine time a second
		now = now.Add(50 * time.Millisecond)
		if i%2 == 0 {
			r.recordSent("svc", 100*time.Millisecond, now)
		}
	}
	busy := count(now, 1)
	is.True(busy >= 15 && busy <= 25)
	is.True(count(now.Add(20*time.Second), 2) <= 5)
}

// Requests, the exchange and the metrics use the table at the same time.
func TestReturnTimesAreUsedConcurrently(t *testing.T) {
	r := newReturnTimes(t, FeatureOn)
	var group sync.WaitGroup
	for i := range byte(4) {
		group.Go(func() {
			for j := range byte(50) {
				now, request := boottime.Now(), rejectedForCapacity
				request.digest = quarantine.Digest{i, j}
				r.recordSent("svc", time.Second, now)
				r.reserve(request, now)
				r.redeem("svc", request.digest, now)
				r.addRemote(r.takeNew())
				r.gateway.metrics.write(new(bytes.Buffer))
			}
		})
	}
	group.Wait()
}
