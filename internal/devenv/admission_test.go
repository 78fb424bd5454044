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

// outcome counts the requests of a class by their result.
type outcome struct {
	answered int
	// refused requests were rejected on arrival, late ones at their deadline.
	refused int
	late    int
}

// TestReportsGoBeforeNarration sends several times the load that two engines can
// handle. Every request of the class "reports" must be answered, "narration" must
// not starve, and requests that can't be answered in time must be refused long
// before their deadline, without having run and with a Retry-After header.
func TestReportsGoBeforeNarration(t *testing.T) {
	is := is.New(t)
	env := run(t, Options{Engine: engine.Options{Capacity: 2, TimePerToken: 2 * time.Millisecond}})
	const narrations, reports = 240, 24
	var mu sync.Mutex
	got := map[string]*outcome{"narration": {}, "reports": {}}
	var wait sync.WaitGroup
	ask := func(class string, i int) {
		wait.Go(func() {
			env.sendClass(t, class, i, func(count func(*outcome)) {
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
	// Of the requests that exceeded the capacity, nearly all were refused on
	// arrival rather than at their deadline.
	is.True(got["narration"].refused > 2*got["narration"].late)
}

// deadlineMS is the deadline of the requests of each class, in milliseconds.
var deadlineMS = map[string]int{"reports": 25_000, "narration": 1500}

func (e *Env) sendClass(t *testing.T, class string, i int, count func(func(*outcome))) {
	body := fmt.Sprintf(`{"model":"large","messages":[{"role":"user","content":"%s %d tokens=40"}]}`, class, i)
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Hosts[0].CallerAddr()+chatPath, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+AccountKey)
	req.Header.Set("Quetzalweir-Class", class)
	req.Header.Set("Quetzalweir-Deadline-Ms", fmt.Sprint(deadlineMS[class]))
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
