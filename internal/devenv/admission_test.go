package devenv

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
)

// outcome counts what a class came to.
type outcome struct {
	answered int
	// refused at once, late at the deadline.
	refused int
	late    int
}

// TestReportsGoBeforeNarration offers several times what two engines can answer.
// Every report is answered, narration isn't starved, and what can't be answered
// in time is refused long before its deadline, not run, with when to come back.
func TestReportsGoBeforeNarration(t *testing.T) {
	is := is.New(t)
	env := run(t, Options{Engine: engine.Options{Capacity: 2, TimePerToken: 2 * time.Millisecond}})
	const narrations, reports = 240, 24
	var mu sync.Mutex
	got := map[string]*outcome{"narration": {}, "reports": {}}
	var wait sync.WaitGroup
	ask := func(class string, i int) {
		wait.Go(func() {
			env.askClass(t, class, i, func(count func(*outcome)) {
				mu.Lock()
				defer mu.Unlock()
				count(got[class])
			})
		})
	}
	for i := range narrations {
		ask("narration", i)
		if i%(narrations/reports) == 0 {
			ask("reports", i)
		}
	}
	wait.Wait()
	t.Logf("reports %+v, narration %+v", *got["reports"], *got["narration"])
	is.Equal(*got["reports"], outcome{answered: reports})
	is.True(got["narration"].answered > 0) // not starved
	// The load was above what could be answered, and that was said at once of
	// nearly all that had to go unanswered.
	is.True(got["narration"].refused > 2*got["narration"].late)
}

// patience is how long the callers of each class wait, in milliseconds.
var patience = map[string]int{"reports": 25_000, "narration": 1500}

func (e *Env) askClass(t *testing.T, class string, i int, count func(func(*outcome))) {
	body := fmt.Sprintf(`{"model":"large","messages":[{"role":"user","content":"%s %d tokens=40"}]}`, class, i)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Hosts[0].CallerAddr()+chatPath, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+AccountKey)
	req.Header.Set("Quetzalweir-Class", class)
	req.Header.Set("Quetzalweir-Deadline-Ms", fmt.Sprint(patience[class]))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	switch resp.Header.Get("Quetzalweir-Result-Code") {
	case "0":
		count(func(o *outcome) { o.answered++ })
	case "1005":
		count(func(o *outcome) { o.late++ })
	case "3003":
		count(func(o *outcome) { o.refused++ })
		if resp.Header.Get("Quetzalweir-Run-State") != "not-run" || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s %d: %v", class, i, resp.Header)
		}
	default:
		t.Errorf("%s %d: %s", class, i, text)
	}
}
