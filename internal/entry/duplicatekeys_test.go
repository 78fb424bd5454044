package entry

import (
	"testing"

	"github.com/matryer/is"
)

func TestCheckDuplicateKeys(t *testing.T) {
	tests := []struct {
		desc, body string
		want       bool
	}{
		{"each key once", `{"model":"a","messages":[{"role":"user","content":"x"},{"role":"user","content":"y"}]}`, true},
		{"model twice", `{"model":"a","messages":[],"model":"b"}`, false},
		{"model twice, other case", `{"model":"a","Model":"b"}`, false},
		{"model twice, escaped", `{"model":"a","mod\u0065l":"b"}`, false},
		{"a value that looks like a key", `{"model":"messages","messages":["model","model"]}`, true},
		{"content twice in a message", `{"messages":[{"content":"a","content":"b"}]}`, false},
		{"keys of a tool that differ in case", `{"tools":[{"a":1,"A":2}]}`, true},
		{"same key in nested objects", `{"a":{"a":{"a":1}},"b":{"a":1}}`, true},
		{"after a nested list", `{"a":[[],{}],"b":[],"a":1}`, false},
		{"empty objects", `{"a":{},"b":{"c":[]},"d":{}}`, true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is.New(t).Equal(checkDuplicateKeys([]byte(test.body)) == nil, test.want)
		})
	}
}
