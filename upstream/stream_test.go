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
		// checkStats reports whether the counters match the fault.
		checkStats func(upstream.EngineStats) bool
	}{
		{"no fault", engine.Faults{}, allZero},
		{"duplicates", engine.Faults{DuplicateEvery: 3}, duplicatesWithoutResumes},
		{"reordered", engine.Faults{ReorderEvery: 4}, reorderedWithoutResumes},
		{"late within the window", engine.Faults{LateEvery: 7, LateBy: 5}, reorderedWithoutResumes},
		{"late beyond the window", engine.Faults{LateEvery: 10, LateBy: 20}, anyResumes},
		{"last frame after the end marker", engine.Faults{LateEvery: 51, LateBy: 1}, allZero},
		{"crossed", engine.Faults{CrossEvery: 2}, foreignWithoutResumes},
		{"lost", engine.Faults{LoseEvery: 13}, anyResumes},
		{"lost right before the end marker", engine.Faults{LoseEvery: 51}, anyResumes},
		{"cut before the first frame", engine.Faults{Cut: cut.Plan{At: cut.MidAnswer, Times: 1}}, anyResumes},
		{"cut three times", engine.Faults{Cut: cut.Plan{At: cut.MidAnswer, Times: 3, Frames: 9}}, anyResumes},
		{"cut before the end marker", engine.Faults{Cut: cut.Plan{At: cut.MidAnswer, Times: 1, Frames: 51}}, anyResumes},
		{"all at once", engine.Faults{
			DuplicateEvery: 3, ReorderEvery: 4, CrossEvery: 2, LoseEvery: 13,
			Cut: cut.Plan{At: cut.MidAnswer, Times: 2, Frames: 11},
		}, anyResumes},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			standin, target := startEngine(t, engine.Options{})
			c := newEngineClient(t, upstream.EngineOptions{ReorderWindow: 8, GapTimeout: time.Minute})
			_, err := openAndRead(t.Context(), c, target, engineCallWith("another", "bid on lot 18 tokens=50"), new(runstate.Tracker))
			is.NoErr(err)
			standin.SetFaults(test.faults)
			text, err := openAndRead(t.Context(), c, target, engineCall("r1"), new(runstate.Tracker))
			is.NoErr(err)
			is.Equal(text, engine.ExpectedAnswer("m", "1", prompt))
			is.True(test.checkStats(c.Stats()))
			is.Equal(standin.Arrival("r1").Began, 1)
		})
	}
}

func duplicatesWithoutResumes(s upstream.EngineStats) bool { return s.Duplicates > 0 && s.Resumes == 0 }
func reorderedWithoutResumes(s upstream.EngineStats) bool  { return s.Reordered > 0 && s.Resumes == 0 }
func foreignWithoutResumes(s upstream.EngineStats) bool    { return s.Foreign > 0 && s.Resumes == 0 }
func anyResumes(s upstream.EngineStats) bool               { return s.Resumes > 0 }
func allZero(s upstream.EngineStats) bool                  { return s == upstream.EngineStats{} }

// scriptedEngine responds to each request with the next of its responses and then
// breaks the connection. For a response in the form VERSION|TEXT, it sends TEXT with the
// given model version. It sends all other responses with the version of the engine.
type scriptedEngine struct {
	version   string
	responses []string
	// lastEventIDs holds the Last-Event-ID of each request to resume the stream.
	lastEventIDs []string
}

func (s *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		return
	}
	if r.Method == http.MethodGet {
		s.lastEventIDs = append(s.lastEventIDs, r.Header.Get(upstream.HeaderLastEventID))
	}
	if len(s.responses) == 0 {
		http.Error(w, "gone", http.StatusNotFound)
		return
	}
	response := s.responses[0]
	s.responses = s.responses[1:]
	version, response, ok := strings.Cut(response, "|")
	if !ok {
		version, response = s.version, version
	}
	w.Header().Set(upstream.HeaderModelVersion, version)
	fmt.Fprint(w, response)
	_ = http.NewResponseController(w).Flush()
	if strings.HasSuffix(response, hangMarker) {
		<-r.Context().Done()
	}
	cut.Abort()
}

// TestStreamDeliversCorrectPrefix sends random events over connections that break
// at random points. The delivered frames must be the first frames of the response, in
// order, and io.EOF must mean that all frames were delivered.
func TestStreamDeliversCorrectPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "frames")
		event := rapid.Custom(func(t *rapid.T) string { return drawEvent(t, n) })
		connections := rapid.SliceOfN(rapid.SliceOfN(event, 0, 12), 1, 8).Draw(t, "connections")
		s := &scriptedEngine{version: "m@1"}
		for _, events := range connections {
			s.responses = append(s.responses, strings.Join(events, ""))
		}
		srv := httptest.NewServer(s)
		defer srv.Close()
		c := upstream.NewEngine(upstream.EngineOptions{ReorderWindow: 3, ResumeTries: 3, ResumeDelay: time.Microsecond})
		defer c.Close()
		target := upstream.Target{Address: srv.Listener.Addr().String()}
		text, err := openAndRead(t.Context(), c, target, engineCall("r1"), new(runstate.Tracker))
		whole := text == expectedText(n)
		if err == nil && !whole {
			t.Fatalf("stream ended with io.EOF after %q, expected %d frames", text, n)
		}
		if err != nil && !errors.Is(err, upstream.ErrIncomplete) {
			t.Fatal(err)
		}
		if !strings.HasPrefix(expectedText(n), text) {
			t.Fatalf("%q is not a prefix of the response", text)
		}
	})
}

// drawEvent draws an event for a response of n frames; most events are valid.
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
		return formatEnd(number)
	}
	return formatFrames(number, number)
}

// expectedText returns the text of frames 1 to n.
func expectedText(n int) string {
	text := ""
	for i := 1; i <= n; i++ {
		text += fmt.Sprintf("%d ", i)
	}
	return text
}

// hangMarker ends a response after which the connection stays open without
// sending more.
const hangMarker = ": hang\n"

func formatFrames(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: r1:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d \"}}]}\n\n", n, n)
	}
	return b.String()
}

func formatEnd(n int) string { return fmt.Sprintf("id: r1:%d\ndata: [DONE]\n\n", n) }

func TestResume(t *testing.T) {
	tests := []struct {
		desc      string
		responses []string
		text      string
		want      error
		resumed   []string
	}{
		{"at the offset", []string{formatFrames(1, 2), formatFrames(3, 3) + formatEnd(4)}, "1 2 3 ", nil, []string{"r1:2"}},
		{"a truncated frame is sent again", []string{formatFrames(1, 1) + "id: r1:2\ndata: {\"cho", formatFrames(2, 3) + formatEnd(4)}, "1 2 3 ", nil, []string{"r1:1"}},
		{"resent frames are dropped", []string{formatFrames(1, 3), formatFrames(1, 4) + formatEnd(5)}, "1 2 3 4 ", nil, []string{"r1:3"}},
		{"end marker behind a gap", []string{formatFrames(1, 1) + formatEnd(4), formatFrames(2, 3) + formatEnd(4)}, "1 2 3 ", nil, []string{"r1:1"}},
		{"end marker without a number", []string{formatFrames(1, 1) + "data: [DONE]\n\n", formatEnd(2)}, "1 ", nil, []string{"r1:1"}},
		{"end marker of another request", []string{formatFrames(1, 1) + "id: r2:2\ndata: [DONE]\n\n", formatFrames(2, 2) + formatEnd(3)}, "1 2 ", nil, []string{"r1:1"}},
		{"silent connection", []string{formatFrames(1, 2) + hangMarker, formatFrames(3, 3) + formatEnd(4)}, "1 2 3 ", nil, []string{"r1:2"}},
		{"silent behind a gap", []string{formatFrames(1, 1) + formatFrames(3, 4) + hangMarker, formatFrames(2, 4) + formatEnd(5)}, "1 2 3 4 ", nil, []string{"r1:1"}},
		{"silent behind the end marker and a gap", []string{formatFrames(1, 1) + formatEnd(3) + hangMarker, formatFrames(2, 2) + formatEnd(3)}, "1 2 ", nil, []string{"r1:1"}},
		{"silent behind the end marker", []string{formatFrames(1, 1) + formatEnd(2) + hangMarker}, "1 ", nil, nil},
		{"engine no longer has the stream", []string{formatFrames(1, 2)}, "1 2 ", upstream.ErrIncomplete, []string{"r1:2"}},
		{"another version", []string{formatFrames(1, 2), "m@2|" + formatFrames(3, 3) + formatEnd(4)}, "1 2 ", upstream.ErrIncomplete, []string{"r1:2"}},
		{"all tries failed", []string{formatFrames(1, 1), "", "", ""}, "1 ", upstream.ErrIncomplete, []string{"r1:1", "r1:1", "r1:1"}},
		{"a new frame resets the number of tries", []string{"", "", formatFrames(1, 1), "", "", formatFrames(2, 2) + formatEnd(3)}, "1 2 ", nil, []string{"r1:0", "r1:0", "r1:1", "r1:1", "r1:1"}},
		{"frame too large", []string{formatFrames(1, 1) + "data: " + strings.Repeat("x", 2000)}, "1 ", upstream.ErrTooLarge, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedEngine{version: "m@1", responses: test.responses}
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
			text, err := openAndRead(t.Context(), c, target, engineCall("r1"), &state)
			is.NoErr(c.Close())
			is.True(errors.Is(err, test.want))
			is.Equal(text, test.text)
			is.Equal(s.lastEventIDs, test.resumed)
			is.Equal(state.State(), runstate.Ran)
		})
	}
}

func TestResponseHeaderOfAnotherCall(t *testing.T) {
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
				fmt.Fprint(w, formatFrames(1, 2)+formatEnd(3))
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
	is.Equal(again, err) // the error is permanent
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
	is.NoErr(c.Close()) // a second Close is a no-op
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
	is.True(errors.Is(err, upstream.ErrNotSent))
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
