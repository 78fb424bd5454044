package gateway

import (
	"fmt"
	"io"
	"net/http"
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
