package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/manifest"
)

// errRefused means that a submission was refused and had no effect.
var errRefused = errors.New("refused")

// submitOnce submits a manifest once. Any error other than errRefused means that
// the outcome is unknown.
func (s *system) submitOnce(h *entryHost, data []byte) (config.Head, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.operatorAddr+entry.PathManifest, bytes.NewReader(data))
	if err != nil {
		return config.Head{}, err
	}
	req.Header.Set("Authorization", "Bearer "+devenv.OperatorKey)
	req.Header.Set(entry.HeaderSubmitToken, manifest.Digest(data))
	resp, err := client.Do(req)
	if err != nil {
		return config.Head{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		var answer entry.SubmitResponse
		err := decode(resp.Body, &answer)
		return answer.Head, err
	}
	var refused entry.OperatorError
	if err := decode(resp.Body, &refused); err != nil {
		return config.Head{}, err
	}
	if refused.Outcome == entry.OutcomeNone {
		return config.Head{}, fmt.Errorf("%w: %s", errRefused, refused.Message)
	}
	return config.Head{}, errors.New(refused.Message)
}

// submitUntilKnown repeats a submission until its outcome is known.
func (s *system) submitUntilKnown(h *entryHost, data []byte) (config.Head, error) {
	for {
		head, err := s.submitOnce(h, data)
		if err == nil || errors.Is(err, errRefused) {
			return head, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestConcurrentSubmissions checks that exactly one of several concurrent submissions is
// accepted. In each round operators submit different successors of the manifest
// in force through three hosts, while the table loses responses, loses writes, or
// applies writes late.
func TestConcurrentSubmissions(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	current := devenv.Manifest()
	s.submit(current)
	const rounds = 6
	one := 1
	faults := []platformd.Faults{{LoseNext: &one}, {DropNext: &one}, {DelayNext: &one, DelayNextMS: 300}}
	for round := range rounds {
		s.setFaults(s.platform, faults[round%len(faults)])
		candidates := make([][]byte, len(s.hosts))
		heads := make([]config.Head, len(s.hosts))
		errs := make([]error, len(s.hosts))
		var wait sync.WaitGroup
		for i, h := range s.hosts {
			candidates[i] = edit(t, current, func(d *manifest.Document) { d.Build = fmt.Sprintf("round %d by %s", round, h.id) })
			wait.Go(func() { heads[i], errs[i] = s.submitUntilKnown(h, candidates[i]) })
		}
		wait.Wait()
		winners := 0
		for i := range s.hosts {
			if errs[i] == nil {
				winners++
				is.Equal(heads[i].Epoch, uint64(round+2))
				is.Equal(heads[i].Digest, manifest.Digest(candidates[i]))
				current = candidates[i]
			}
		}
		is.Equal(winners, 1) // one is accepted, the others are refused
	}
	eventually(t, "the last manifest is in force everywhere", func() bool { return s.epochInForce(rounds + 1) })
	s.checkHistory(rounds + 1)
	s.checkEpochsOnlyRise()
}

// checkHistory checks the number of accepted manifests and that the parent of each
// is the manifest accepted before it.
func (s *system) checkHistory(epochs int) {
	s.t.Helper()
	var heads []config.Head
	if err := s.operatorGet(s.hosts[0], entry.PathHistory, &heads); err != nil {
		s.t.Fatal(err)
	}
	if len(heads) != epochs {
		s.t.Fatalf("%d manifests were accepted, not %d", len(heads), epochs)
	}
	for i, h := range heads {
		if h.Epoch != uint64(i+1) || (i > 0 && h.Parent != heads[i-1].Digest) {
			s.t.Errorf("epoch %d with parent %s doesn't follow", h.Epoch, h.Parent)
		}
	}
}

// checkEpochsOnlyRise checks in each host's log that the epoch in force never
// decreased.
func (s *system) checkEpochsOnlyRise() {
	s.t.Helper()
	for _, h := range s.hosts {
		last := 0
		for line := range strings.Lines(h.output()) {
			value := findField(line, "event=manifest-in-force", " epoch=")
			if value == "" {
				continue
			}
			epoch, _ := strconv.Atoi(value)
			if epoch <= last {
				s.t.Errorf("%s put epoch %d in force after %d", h.id, epoch, last)
			}
			last = epoch
		}
		if last == 0 {
			s.t.Errorf("%s logged no manifest in force", h.id)
		}
	}
}

// TestTableDown makes the table unavailable for longer than the freshness bound.
// The hosts continue to serve, since no newer manifest can be accepted meanwhile.
// Calls that need a claim are refused without delay, a new host gets the manifest
// from its peers, and a manifest is accepted only after the outage.
func TestTableDown(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 3)
	first := devenv.Manifest()
	s.submit(first)
	s.setTableUp(false)
	time.Sleep(staleManifestBound)

	for _, h := range s.hosts {
		a, err := chat("large", "outage tokens=1", true).send(h)
		is.NoErr(err)
		checkChat(t, a, "large", "outage tokens=1")
	}
	a, err := bid("in-the-outage", "{}").with("Quetzalweir-Deadline-Ms", "25000").send(s.hosts[0])
	is.NoErr(err)
	is.Equal(a.get("Quetzalweir-Result-Code"), "5001")
	is.True(a.get("Retry-After") != "")
	is.Equal(s.serviceRuns()["in-the-outage"], 0)

	fresh := s.addHost("entry-fresh", "zone-a", "--seeds="+s.hosts[0].fromPeers.address())
	eventually(t, "the fresh host has the manifest from its peers", func() bool { return isReady(fresh) })
	a, err = chat("large", "fresh tokens=1", false).send(fresh)
	is.NoErr(err)
	checkChat(t, a, "large", "fresh tokens=1")

	second := edit(t, first, withdrawV1)
	_, err = s.submitOnce(s.hosts[1], second)
	is.True(err != nil) // not accepted while the table is down
	s.setTableUp(true)
	head, err := s.submitUntilKnown(s.hosts[1], second)
	is.NoErr(err)
	is.Equal(head.Epoch, uint64(2))
	eventually(t, "in force everywhere", func() bool { return s.epochInForce(2) })
	s.checkEpochsOnlyRise()
}

func (s *system) setTableUp(up bool) {
	down := !up
	s.setFaults(s.platform, platformd.Faults{Down: &down})
}
