package upstream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// receivedIDs records the request ids that a server received.
type receivedIDs struct {
	mu  sync.Mutex
	raw strings.Builder
}

func (r *receivedIDs) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.raw.Write(p)
}

func (r *receivedIDs) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(r.raw.String(), id+"\r\n")
}

// TestCancelledCallReportsTrueRunState cancels calls shortly before or after their
// first write. It guards against a call that reports NotRun although the server
// received it.
func TestCancelledCallReportsTrueRunState(t *testing.T) {
	is := is.New(t)
	const calls = 1000
	received := new(receivedIDs)
	target := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = received.Write([]byte(r.Header.Get(HeaderRequestID) + "\r\n"))
	})
	c := NewService(ServiceOptions{})
	defer c.Close()
	random := rand.New(rand.NewPCG(1, 1))
	var notRunIDs []string
	for i := range calls {
		ctx, cancel := context.WithCancel(t.Context())
		wait := time.Duration(random.IntN(150)) * time.Microsecond
		timer := time.AfterFunc(wait, cancel)
		id := fmt.Sprintf("r%d", i)
		var state runstate.Tracker
		_, err := c.Do(ctx, target, ServiceCall{RequestID: id, Method: http.MethodPost, Path: "/", Body: []byte("bid")}, &state)
		if err != nil && state.State() == runstate.NotRun {
			is.True(errors.Is(err, ErrNotSent))
			notRunIDs = append(notRunIDs, id)
		}
		timer.Stop()
		cancel()
	}
	t.Logf("%d of %d calls reported that they were not run", len(notRunIDs), calls)
	for _, id := range notRunIDs {
		is.True(!received.contains(id)) // reported NotRun, but the server received it
	}
}
