package httpjson

import (
	"fmt"
	"net/http/httptest"
	"strings"
)

func ExampleRead() {
	var order struct {
		Action string `json:"action"`
	}
	for _, body := range []string{`{"action":"load"}`, `{"acton":"load"}`} {
		w := httptest.NewRecorder()
		ok := Read(w, httptest.NewRequest("POST", "/orders", strings.NewReader(body)), &order)
		fmt.Println(ok, order.Action, w.Code)
	}
	// Output:
	// true load 200
	// false load 400
}
