package service

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRunsAreCountedByKey(t *testing.T) {
	is := is.New(t)
	s := New(Options{})
	send := func(id string) *httptest.ResponseRecorder {
		r := httptest.NewRequest("POST", "/bids?lot=1", strings.NewReader("5"))
		r.Header.Set("X-Request-Id", id)
		r.Header.Set(headerRequestKey, "k")
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		return w
	}
	is.Equal(send("r1").Body.Bytes(), ExpectedAnswer("POST", "/bids?lot=1", []byte("5")))
	s.SetFaults(Faults{Leaving: true})
	is.Equal(send("r2").Code, http.StatusServiceUnavailable)
	s.SetFaults(Faults{})
	send("r3")
	is.Equal(s.Arrivals(), Arrivals{
		Arrivals: []Arrival{
			{RequestID: "r1", RequestKey: "k", Heads: 1, Bodies: 1, Runs: 1},
			{RequestID: "r2", RequestKey: "k", Heads: 1, Bodies: 1, Refused: 1},
			{RequestID: "r3", RequestKey: "k", Heads: 1, Bodies: 1, Runs: 1},
		},
		RunsByKey: map[string]int{"k": 2},
	})
}

func ExampleExpectedAnswer() {
	fmt.Println(string(ExpectedAnswer("POST", "/bids", []byte("5"))))
	// Output:
	// {"method":"POST","path":"/bids","body":"5","confirmation":"CDBAB915C5DE3FC66"}
}
