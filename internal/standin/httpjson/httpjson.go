// Package httpjson reads and writes the JSON bodies of the stand-ins.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
)

// bodyLimit is the maximum size of a request body, in bytes; what follows is
// ignored.
const bodyLimit = 64 << 10

// Read decodes the JSON body of the request into out; unknown fields are
// errors. On an error it sends status 400 and returns false.
func Read(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, bodyLimit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write sends the value as a JSON response.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
