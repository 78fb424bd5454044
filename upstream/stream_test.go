package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/runstate"
	"github.com/quetzalweir/quetzalweir/upstream"
)

func TestWholeAnswerUnderFrameFaults(t *testing.T) {
	tests := []struct {
		desc   string
		faults engine.Faults
		// counted says whether the right counters moved.
		counted func(upstream.EngineStats) bool
	}{
		{"no fault", engine.Faults{}, untouched},
		{"duplicates", engine.Faults{DuplicateEvery: 3}, duplicates},
		{"reordered", engine.Faults{ReorderEvery: 4}, reordered},
		{"late within the window", engine.Faults{LateEvery: 7, LateBy: 5}, reordered},
		{"late beyond the window", engine.Faults{LateEvery: 10, LateBy: 20}, resumes},
		{"last frame after the end mark", engine.Faults{LateEvery: 51, LateBy: 1}, untouched},
		{"crossed", engine.Faults{CrossEvery: 2}, crossed},
		{"lost", engine.Faults{LoseEvery: 13}, resumes},
		{"lost right before the end mark", engine.Faults{LoseEvery: 51}, resumes},
		{"cut before the first frame", engine.Faults{Cut: cut.Plan{At: cut.MidAnswer, Times: 1}}, resumes},
		{"cut three times", engine.Faults{Cut: cut.Plan{At: cut.MidAnswer, Times: 3, Frames: 9}}, resumes},
		{"cut before the end mark", engine.Faults{Cut: cut.Plan{At: cut.MidAnswer, Times: 1, Frames: 51}}, resumes},
		{"all at once", engine.Faults{
			DuplicateEvery: 3, ReorderEvery: 4, CrossEvery: 2, LoseEvery: 13,
			Cut: cut.Plan{At: cut.MidAnswer, Times: 2, Frames: 11},
		}, resumes},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			standin, target := startEngine(t, engine.Options{})
			c := newEngineClient(t, upstream.EngineOptions{ReorderWindow: 8, GapTimeout: time.Minute})
			_, err := ask(t.Context(), c, target, engineCallWith("another", "bid on lot 18 tokens=50"), new(runstate.Tracker))
			is.NoErr(err)
			standin.SetFaults(test.faults)
			text, err := ask(t.Context(), c, target, engineCall("r1"), new(runstate.Tracker))
			is.NoErr(err)
			is.Equal(text, engine.ExpectedAnswer("m", "1", prompt))
			is.True(test.counted(c.Stats()))
			is.Equal(standin.Arrival("r1").Began, 1)
		})
	}
}

func duplicates(s upstream.EngineStats) bool { return s.Duplicates > 0 && s.Resumes == 0 }
func reordered(s upstream.EngineStats) bool  { return s.Reordered > 0 && s.Resumes == 0 }
func crossed(s upstream.EngineStats) bool    { return s.Crossed > 0 && s.Resumes == 0 }
func resumes(s upstream.EngineStats) bool    { return s.Resumes > 0 }
func untouched(s upstream.EngineStats) bool  { return s == upstream.EngineStats{} }

// script is an engine that answers each request with the next of its parts
// and then breaks the connection.
type script struct {
	version string
	parts   []string
	// resumed holds the Last-Event-ID of each resume.
	resumed []string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	if r.Method == http.MethodGet {
		s.resumed = append(s.resumed, r.Header.Get(upstream.HeaderLastEventID))
	}
	if len(s.parts) == 0 {
		http.Error(w, "gone", http.StatusNotFound)
		return
	}
	part := s.parts[0]
	s.parts = s.parts[1:]
	version, part, ok := strings.Cut(part, "|")
	if !ok {
		version, part = s.version, version
	}
	w.Header().Set(upstream.HeaderModelVersion, version)
	fmt.Fprint(w, part)
	_ = http.NewResponseController(w).Flush()
	if strings.HasSuffix(part, hang) {
		<-r.Context().Done()
	}
	cut.Now()
}

// TestStreamNeverLies sends random events over connections that break at
// random: whatever comes, the frames are the right ones in order, and io.EOF
// means that all of them were delivered.
func TestStreamNeverLies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "frames")
		event := rapid.Custom(func(t *rapid.T) string { return drawEvent(t, n) })
		parts := rapid.SliceOfN(rapid.SliceOfN(event, 0, 12), 1, 8).Draw(t, "connections")
		s := &script{version: "m@1"}
		for _, events := range parts {
			s.parts = append(s.parts, strings.Join(events, ""))
		}
		srv := httptest.NewServer(s)
		defer srv.Close()
		c := upstream.NewEngine(upstream.EngineOptions{ReorderWindow: 3, ResumeTries: 3, ResumeDelay: time.Microsecond})
		defer c.Close()
		target := upstream.Target{Address: srv.Listener.Addr().String()}
		text, err := ask(t.Context(), c, target, engineCall("r1"), new(runstate.Tracker))
		whole := text == words(n)
		if err == nil && !whole {
			t.Fatalf("%q was said to be the whole answer of %d frames", text, n)
		}
		if err != nil && !errors.Is(err, upstream.ErrIncomplete) {
			t.Fatal(err)
		}
		if !strings.HasPrefix(words(n), text) {
			t.Fatalf("%q isn't how the answer begins", text)
		}
	})
}

// drawEvent draws an event of an answer of n frames, mostly a right one.
func drawEvent(t *rapid.T, n int) string {
	number := rapid.IntRange(1, n+1).Draw(t, "number")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return fmt.Sprintf("id: r2:%d\ndata: [DONE]\n\n", number)
	case 1:
		return fmt.Sprintf("id: r2:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"no \"}}]}\n\n", number)
	case 2:
		return "data: [DONE]\n\n"
	case 3:
		return ": ping\n\nid: r1:x\ndata: {}\n\n"
	}
	if number > n {
		return end(number)
	}
	return frames(number, number)
}

// words is the text of the frames from 1 to n.
func words(n int) string {
	text := ""
	for i := 1; i <= n; i++ {
		text += fmt.Sprintf("%d ", i)
	}
	return text
}

// hang ends a part after which the connection stays open and silent.
const hang = ": hang\n"

func frames(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: r1:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d \"}}]}\n\n", n, n)
	}
	return b.String()
}

func end(n int) string { return fmt.Sprintf("id: r1:%d\ndata: [DONE]\n\n", n) }

func TestResume(t *testing.T) {
	tests := []struct {
		desc    string
		parts   []string
		text    string
		want    error
		resumed []string
	}{
		{"at the offset", []string{frames(1, 2), frames(3, 3) + end(4)}, "1 2 3 ", nil, []string{"r1:2"}},
		{"a frame cut in two comes again", []string{frames(1, 1) + "id: r1:2\ndata: {\"cho", frames(2, 3) + end(4)}, "1 2 3 ", nil, []string{"r1:1"}},
		{"resent frames are dropped", []string{frames(1, 3), frames(1, 4) + end(5)}, "1 2 3 4 ", nil, []string{"r1:3"}},
		{"end mark behind a gap", []string{frames(1, 1) + end(4), frames(2, 3) + end(4)}, "1 2 3 ", nil, []string{"r1:1"}},
		{"end mark without a number", []string{frames(1, 1) + "data: [DONE]\n\n", end(2)}, "1 ", nil, []string{"r1:1"}},
		{"end mark of another request", []string{frames(1, 1) + "id: r2:2\ndata: [DONE]\n\n", frames(2, 2) + end(3)}, "1 2 ", nil, []string{"r1:1"}},
		{"silent connection", []string{frames(1, 2) + hang, frames(3, 3) + end(4)}, "1 2 3 ", nil, []string{"r1:2"}},
		{"silent behind a gap", []string{frames(1, 1) + frames(3, 4) + hang, frames(2, 4) + end(5)}, "1 2 3 4 ", nil, []string{"r1:1"}},
		{"silent behind the end mark and a gap", []string{frames(1, 1) + end(3) + hang, frames(2, 2) + end(3)}, "1 2 ", nil, []string{"r1:1"}},
		{"silent behind the end mark", []string{frames(1, 1) + end(2) + hang}, "1 ", nil, nil},
		{"stream forgotten", []string{frames(1, 2)}, "1 2 ", upstream.ErrIncomplete, []string{"r1:2"}},
		{"another version", []string{frames(1, 2), "m@2|" + frames(3, 3) + end(4)}, "1 2 ", upstream.ErrIncomplete, []string{"r1:2"}},
		{"tries spent", []string{frames(1, 1), "", "", ""}, "1 ", upstream.ErrIncomplete, []string{"r1:1", "r1:1", "r1:1"}},
		{"progress renews the tries", []string{"", "", frames(1, 1), "", "", frames(2, 2) + end(3)}, "1 2 ", nil, []string{"r1:0", "r1:0", "r1:1", "r1:1", "r1:1"}},
		{"frame too large", []string{frames(1, 1) + "data: " + strings.Repeat("x", 2000)}, "1 ", upstream.ErrTooLarge, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			s := &script{version: "m@1", parts: test.parts}
			srv := httptest.NewServer(s)
			defer srv.Close()
			c := upstream.NewEngine(upstream.EngineOptions{
				MaxFrame:     1000,
				ResumeTries:  3,
				ResumeDelay:  time.Millisecond,
				StallTimeout: time.Second,
				GapTimeout:   500 * time.Millisecond,
			})
			target := upstream.Target{Address: srv.Listener.Addr().String()}
			var state runstate.Tracker
			text, err := ask(t.Context(), c, target, engineCall("r1"), &state)
			is.NoErr(c.Close())
			is.True(errors.Is(err, test.want))
			is.Equal(text, test.text)
			is.Equal(s.resumed, test.resumed)
			is.Equal(state.State(), runstate.Ran)
		})
	}
}

func TestHeadOfAnotherAnswer(t *testing.T) {
	tests := []struct {
		desc    string
		version string
		id      string
	}{
		{"another version", "m@2", ""},
		{"no version", "", ""},
		{"another request", "m@1", "r2"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(upstream.HeaderModelVersion, test.version)
				w.Header().Set(upstream.HeaderRequestID, test.id)
				fmt.Fprint(w, frames(1, 2)+end(3))
			}))
			defer srv.Close()
			c := newEngineClient(t, upstream.EngineOptions{})
			var state runstate.Tracker
			target := upstream.Target{Address: srv.Listener.Addr().String()}
			_, err := c.Open(t.Context(), target, engineCall("r1"), &state)
			is.True(errors.Is(err, upstream.ErrMismatch))
			is.Equal(state.State(), runstate.MayHaveRun)
		})
	}
}

func TestStalledStreamEnds(t *testing.T) {
	is := is.New(t)
	standin, target := startEngine(t, engine.Options{TimePerToken: time.Millisecond})
	c := newEngineClient(t, upstream.EngineOptions{FrameTimeout: time.Second})
	stream, err := c.Open(t.Context(), target, engineCall("r1"), new(runstate.Tracker))
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	standin.SetFaults(engine.Faults{StallMs: 2000})
	_, err = readRest(stream)
	is.True(errors.Is(err, upstream.ErrIncomplete))
	_, again := stream.Next()
	is.Equal(again, err) // the end is final
	is.Equal(c.Stats().Incomplete, uint64(1))
}

func readRest(stream upstream.Stream) (n int, err error) {
	for {
		if _, err := stream.Next(); err != nil {
			return n, err
		}
		n++
	}
}

func TestCloseCancelsUpstream(t *testing.T) {
	is := is.New(t)
	standin, target := startEngine(t, engine.Options{TimePerToken: 10 * time.Millisecond})
	c := upstream.NewEngine(upstream.EngineOptions{})
	stream, err := c.Open(t.Context(), target, engineCall("r1"), new(runstate.Tracker))
	is.NoErr(err)
	is.NoErr(stream.Close())
	_, err = stream.Next()
	is.True(err != nil && err != io.EOF)
	is.NoErr(c.Close())
	is.NoErr(c.Close()) // closing again does no harm
	a := standin.Arrival("r1")
	is.Equal(a.Cancelled, 1)
	is.Equal(a.Finished, 0)
}

func TestCancelledContextEndsStream(t *testing.T) {
	is := is.New(t)
	_, target := startEngine(t, engine.Options{TimePerToken: 10 * time.Millisecond})
	c := newEngineClient(t, upstream.EngineOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := c.Open(ctx, target, engineCall("r1"), new(runstate.Tracker))
	is.NoErr(err)
	cancel()
	_, err = readRest(stream)
	is.True(errors.Is(err, upstream.ErrIncomplete))
	is.True(errors.Is(err, context.Canceled))
}

func TestExpiredDeadlineSendsNothing(t *testing.T) {
	is := is.New(t)
	standin, target := startEngine(t, engine.Options{})
	c := newEngineClient(t, upstream.EngineOptions{})
	call := engineCall("r1")
	call.Deadline = time.Now().Add(-time.Second)
	var state runstate.Tracker
	_, err := c.Open(t.Context(), target, call, &state)
	is.True(errors.Is(err, upstream.ErrConnect))
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(state.State(), runstate.NotRun)
	is.Equal(standin.Arrival("r1").Heads, 0)
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	standin, target := startEngine(t, engine.Options{Fenced: true})
	c := newEngineClient(t, upstream.EngineOptions{})
	open := func(id string) *upstream.StatusError {
		_, err := c.Open(t.Context(), target, engineCall(id), new(runstate.Tracker))
		var status *upstream.StatusError
		is.True(errors.As(err, &status))
		return status
	}
	standin.SetFaults(engine.Faults{Leaving: true})
	got := open("r1")
	is.Equal(*got, upstream.StatusError{Status: 503, Leaving: true, NotRun: true, RetryAfter: time.Second, Message: "engine is leaving"})
	load, err := c.Load(t.Context(), target)
	is.NoErr(err)
	is.Equal(load, upstream.Load{Capacity: 8, Versions: []string{"m@1"}, Leaving: true})

	standin.SetFaults(engine.Faults{})
	is.NoErr(c.Unload(t.Context(), target, "m", "1", 5))
	is.Equal(open("r2").Status, http.StatusConflict)
	is.True(open("r3").NotRun)
	is.Equal(standin.Arrival("r2").Began, 0)
	var stale *upstream.StatusError
	is.True(errors.As(c.Unload(t.Context(), target, "m", "1", 4), &stale))
	is.Equal(stale.Status, http.StatusConflict)
}
