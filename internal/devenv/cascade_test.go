package devenv

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/ledger"
	"github.com/quetzalweir/quetzalweir/storage"
)

// lowRater rates every answer below the target of the sample's cascade.
type lowRater struct{}

func (lowRater) Rate(context.Context, string, string, string, string) (storage.Rating, error) {
	return storage.Rating{Score: 0.1}, nil
}

// waitForBill waits until the request's bill is in the ledger and returns it.
func (e *Env) waitForBill(t *testing.T, id string) ledger.Bill {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		bill, err := ledger.ByRequest(t.Context(), e.Platform.Table(), e.Platform.Objects(), id)
		if err == nil {
			return bill
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(readyPollInterval)
	}
}

// If the better model of a cascade has no upstream, the caller gets the cheap
// model's answer, marked as below the target and billed at its price.
func TestCascadeAnswersWithoutTheBetterModel(t *testing.T) {
	env := run(t, Options{Rater: func(storage.Rater) storage.Rater { return lowRater{} }})
	for _, e := range env.Engines {
		if strings.HasPrefix(e.Load().Versions[0], "large") {
			e.SetFaults(engine.Faults{Leaving: true})
		}
	}
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			is := is.New(t)
			body := fmt.Sprintf(`{"model":"ask","stream":%t,"messages":[{"role":"user","content":"what is lot 7"}]}`, stream)
			req, err := http.NewRequest(http.MethodPost, "http://"+env.Hosts[0].CallerAddr()+chatPath, strings.NewReader(body))
			is.NoErr(err)
			req.Header.Set("Authorization", "Bearer "+AccountKey)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(resp.Header.Get("Quetzalweir-Model"), "small")
			is.Equal(resp.Header.Get("Quetzalweir-Below-Target"), "yes")
			want := strings.Fields(engine.ExpectedAnswer("small", resp.Header.Get("Quetzalweir-Version"), "what is lot 7"))
			is.True(strings.Contains(string(text), want[len(want)-1])) // the answer is complete up to its last word
			is.Equal(strings.Contains(string(text), "[DONE]"), stream)
			bill := env.waitForBill(t, resp.Header.Get("Quetzalweir-Request-Id"))
			is.Equal(bill.Model, "small")
			is.True(bill.CostMicro > 0)
		})
	}
}
