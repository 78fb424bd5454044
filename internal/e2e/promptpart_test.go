package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/platform/platformtest"
)

const (
	// sharedPart is in the prompts of all requests, poisonPart crashes upstreams.
	sharedPart = "aa"
	poisonPart = "dead"
	// partBound is the time from the fifth crash by a part until every host must keep the part away.
	partBound = 3 * time.Second
)

// sendPrompt sends a stream with the parts in its prompt and a body of its own.
func (s *gatewaySystem) sendPrompt(h *gatewayHost, parts ...string) gatewayAnswer {
	own := fmt.Sprintf("%x:10", s.requestCount.Load()+1)
	header := map[string]string{"X-Prefix-Hash": strings.Join(append(parts, own), ","), "X-Token-Count": "300,20"}
	return s.sendContext(context.Background(), h, "stream", "key-a", "", header)
}

// Requests that share one part of their prompts crash each upstream that begins to answer, and are otherwise
// all different; sound requests share their other parts and their account. Each request had a digest of
// its own, so that none had losses enough for a verdict.
func TestPromptPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		name  string
		parts []string // besides the poison part
		first bool
	}{{"after the shared part", []string{sharedPart + ":100"}, false}, {"before the shared part", []string{sharedPart + ":100"}, true}, {"alone", nil, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newGatewaySystem(t, 7, 3)
			p := s.replacePoolBy(func(u *platformtest.Upstream, onCrash func()) {
				u.SetPoisonPart(poisonPart, 40*time.Millisecond, onCrash)
			})
			parts := append(append([]string{}, c.parts...), poisonPart+":50")
			if c.first {
				parts = append([]string{poisonPart + ":50"}, c.parts...)
			}
			type sent struct {
				gatewayAnswer
				begun time.Time
			}
			var mu sync.Mutex
			var sound []sent
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for _, h := range s.gateways {
				for range 2 {
					callers.Go(func() {
						for {
							select {
							case <-stop:
								return
							case <-time.After(30 * time.Millisecond):
							}
							begun := time.Now()
							a := s.sendPrompt(h, sharedPart+":100")
							mu.Lock()
							sound = append(sound, sent{a, begun})
							mu.Unlock()
						}
					})
				}
			}
			time.Sleep(2 * time.Second)
			start := time.Now()
			for i := range 60 {
				callers.Go(func() { s.sendPrompt(s.gateways[i%len(s.gateways)], parts...) })
				time.Sleep(150 * time.Millisecond)
			}
			close(stop)
			callers.Wait()
			sends, crashes := p.sendAndCrashTimes()
			late := 0
			if len(crashes) >= 5 {
				for _, at := range sends {
					if at.After(crashes[4].Add(partBound)) {
						late++
					}
				}
			}
			calm, calmServed, disturbed, served, refused := 0, 0, 0, 0, 0
			for _, a := range sound {
				ok := a.err == nil && a.status == 200
				switch {
				case strings.Contains(a.body, quarantinedCode):
					refused++
				case a.begun.Before(start):
					calm++
					if ok {
						calmServed++
					}
				case len(crashes) >= 5 && a.begun.After(crashes[4].Add(2*partBound)):
					disturbed++
					if ok {
						served++
					}
				}
			}
			t.Logf("%d upstreams crashed, %d sends of the part, %d of them late; sound requests served: %d of %d before, %d of %d after, %d refused as poison requests",
				len(crashes), len(sends), late, calmServed, calm, served, disturbed, refused)
			const maxLatePartSends = 3
			if len(crashes) < 3 || late > maxLatePartSends {
				t.Errorf("%d sends later than %v after the fifth crash, %d are permitted", late, partBound, maxLatePartSends)
			}
			if refused > 0 || disturbed == 0 || served*calm*2 < calmServed*disturbed {
				t.Errorf("sound requests served: %d of %d, %d refused", served, disturbed, refused)
			}
		})
	}
}
