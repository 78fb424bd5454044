package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// A stream that may run once must not run on a second model because the first model isn't confident of its answer.
func TestStreamThatMayRunOnceRunsAgainAtLowConfidence(t *testing.T) {
	events := streamEvents(1, 3, false, "T-Confidence", "8")
	plain := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Stamp", "stamp")
		w.Header().Set("T-Confidence", "8")
		_, _ = io.WriteString(w, eventTexts(1, 3))
	}
	for desc, handler := range map[string]http.HandlerFunc{"events": events, "plain body": plain} {
		t.Run(desc, func(t *testing.T) {
			is := is.New(t)
			tg := newTestGateway(t, documentOfSingleRuns())
			var logs []*requestLog
			for i := range 3 {
				logs = append(logs, tg.startUpstream(fmt.Sprint("u", i), handler))
			}
			got := tg.do(tg.newRequest("POST", "/fixedmodels/x", "body", "T-Model", "*", "T-Tokens", "100,10"))
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, eventTexts(1, 3))
			is.Equal(logs[0].count()+logs[1].count()+logs[2].count(), 1)
		})
	}
}

// Streams that may run once, and so keep the first model's answer, must not all get poor answers while a better model
// has room.
func TestStreamsThatMayRunOnceAllGetPoorAnswers(t *testing.T) {
	is := is.New(t)
	doc := documentOfSingleRuns()
	models := doc.Routes[len(doc.Routes)-1].Models
	tg := newTestGateway(t, doc)
	var mu sync.Mutex
	runsByModel := map[string]int{}
	for i := range 3 {
		tg.startUpstream(fmt.Sprint("u", i), func(w http.ResponseWriter, req *http.Request) {
			model, confidence := req.Header.Get("T-Model"), "8"
			if model == models[len(models)-1] {
				confidence = "95"
			}
			mu.Lock()
			runsByModel[model]++
			mu.Unlock()
			streamEvents(1, 3, false, "T-Confidence", confidence)(w, req)
		})
	}
	const requests = 64
	for range requests {
		got := tg.do(tg.newRequest("POST", "/fixedmodels/x", "body", "T-Model", "*", "T-Tokens", "100,10"))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.True(runsByModel[models[0]] >= 2) // the cheap model is tried again
	is.True(runsByModel[models[0]] <= requests/8)
	is.Equal(runsByModel[models[0]]+runsByModel[models[len(models)-1]], requests)
}
