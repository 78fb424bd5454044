package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/devenv"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
)

// TestRequestsAreAnsweredBilledAndTraced sends streamed and unstreamed requests to three
// hosts concurrently and checks each answer, its version, its bill, and the manifest's
// trace (the bills of the requests under that manifest).
func TestRequestsAreAnsweredBilledAndTraced(t *testing.T) {
	s := startSystem(t, 3)
	head := s.submit(devenv.Manifest())

	const perHost = 20
	var wait sync.WaitGroup
	var mu sync.Mutex
	served := map[string]answer{}
	for _, h := range s.hosts {
		for i := range perHost {
			wait.Go(func() {
				prompt := fmt.Sprintf("%s question %d", h.id, i)
				a, err := chat(modelFor(i), prompt, i%2 == 0).send(h)
				if err != nil {
					t.Errorf("%s: %v", prompt, err)
					return
				}
				checkChat(t, a, modelFor(i), prompt)
				mu.Lock()
				defer mu.Unlock()
				served[a.get("Quetzalweir-Request-Id")] = a
			})
		}
	}
	wait.Wait()
	checkBid(t, s)
	checkTrace(t, s, head, served)
}

func modelFor(i int) string {
	if i%3 == 0 {
		return "large"
	}
	return "small"
}

// checkChat checks that an answer is complete and equals the engines' answer to the
// prompt.
func checkChat(t *testing.T, a answer, model, prompt string) {
	t.Helper()
	version := a.get("Quetzalweir-Version")
	want := engine.ExpectedAnswer(model, version, prompt)
	if a.status != http.StatusOK || contentOfAnswer(t, a.body) != want {
		t.Errorf("%s: status %d, answer %q, want %q", prompt, a.status, contentOfAnswer(t, a.body), want)
	}
	if a.get("Quetzalweir-Model") != model || a.get("Quetzalweir-Run-State") != "ran" || a.get("Quetzalweir-Result-Code") != "0" {
		t.Errorf("%s: header %v trailer %v", prompt, a.header, a.trailer)
	}
}

// contentOfAnswer returns the generated text of an answer, streamed or not.
func contentOfAnswer(t *testing.T, body string) string {
	t.Helper()
	if !strings.HasPrefix(body, "data: ") {
		return contentOfChunk(t, body)
	}
	if !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("streamed answer without [DONE]: %q", body)
	}
	var b strings.Builder
	for _, event := range strings.Split(strings.TrimSuffix(body, "data: [DONE]\n\n"), "\n\n") {
		if event != "" {
			b.WriteString(contentOfChunk(t, strings.TrimPrefix(event, "data: ")))
		}
	}
	return b.String()
}

func contentOfChunk(t *testing.T, body string) string {
	t.Helper()
	var c struct {
		Choices []struct {
			Message struct{ Content string }
			Delta   struct{ Content string }
		}
	}
	if err := json.Unmarshal([]byte(body), &c); err != nil {
		t.Errorf("answer %q: %v", body, err)
	}
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Message.Content + c.Choices[0].Delta.Content
}

// checkBid repeats a bid on other hosts. Each must return the first answer, and the
// service must have run the bid once.
func checkBid(t *testing.T, s *system) {
	t.Helper()
	is := is.New(t)
	body := `{"lot":7,"amount":4200}`
	want := string(service.ExpectedAnswer(http.MethodPost, "/bids", []byte(body)))
	for i, h := range s.hosts {
		a, err := bid("bid-1", body).send(h)
		is.NoErr(err)
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, want)
		is.Equal(a.get("Quetzalweir-Replayed") == "yes", i > 0)
	}
	is.Equal(s.serviceRuns()["bid-1"], 1)
	a, err := call{path: "/services/lanes/bids", body: body}.send(s.hosts[0])
	is.NoErr(err)
	is.Equal(a.status, http.StatusBadRequest)
	is.Equal(a.get("Quetzalweir-Run-State"), "not-run")
}

// serviceRuns returns the number of runs on all services by request key.
func (s *system) serviceRuns() map[string]int {
	s.t.Helper()
	runs := map[string]int{}
	for _, svc := range s.services {
		var arrivals service.Arrivals
		s.standinGet(svc.address, "/arrivals", &arrivals)
		for key, n := range arrivals.RunsByKey {
			runs[key] += n
		}
	}
	return runs
}

func (s *system) standinGet(address, path string, into any) {
	s.t.Helper()
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		s.t.Fatal(err)
	}
}

// checkTrace checks that the trace of the manifest's epoch has the bills of all
// answers, and that the trace of a request leads back to the manifest.
func checkTrace(t *testing.T, s *system, head config.Head, served map[string]answer) {
	t.Helper()
	h := s.hosts[1]
	var trace entry.EpochTrace
	eventually(t, "all bills are in the ledger", func() bool {
		err := s.operatorGet(h, fmt.Sprintf("/v1/trace/epochs/%d", head.Epoch), &trace)
		return err == nil && len(trace.Bills) >= len(served)+1
	})
	if len(trace.Bills) != len(served)+1 {
		t.Fatalf("%d bills for %d answers and one bid", len(trace.Bills), len(served))
	}
	for _, bill := range trace.Bills {
		a, ok := served[bill.RequestID]
		if bill.Service != "" {
			continue
		}
		if !ok || bill.Version != a.get("Quetzalweir-Version") || bill.CostMicro <= 0 || bill.Code != 0 {
			t.Errorf("bill %+v does not match its answer", bill)
		}
	}
	for id := range served {
		var request entry.RequestTrace
		if err := s.operatorGet(h, "/v1/trace/requests/"+id, &request); err != nil {
			t.Fatal(err)
		}
		if request.Head.Digest != head.Digest || request.Bill.RequestID != id {
			t.Errorf("request %s leads to %+v", id, request)
		}
		break
	}
}
