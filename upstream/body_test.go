package upstream

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestRequestBody(t *testing.T) {
	const head = `{"model":"m@1","stream":true,"stream_options":{"include_usage":true}`
	tests := []struct {
		desc string
		body string
		want string
		err  error
	}{
		{"model replaced", `{"model":"x","n":1}`, head + `,"n":1}`, nil},
		{"no model", `{}`, head + `}`, nil},
		{"model given twice", `{"model":"x","a":1,"model":"y"}`, head + `,"a":1}`, nil},
		{"model in another letter case", `{"MODEL":"x","Stream":false,"sTream_options":{}}`, head + `}`, nil},
		{"model with escapes", `{"\u006dodel":"x"}`, head + `}`, nil},
		{"nested names stay", `{"messages":[{"model":"x","stream":false}]}`, head + `,"messages":[{"model":"x","stream":false}]}`, nil},
		{"values stay as they are", `{"a": 1.50 ,"b":"\u00e9"}`, head + `,"a":1.50,"b":"\u00e9"}`, nil},
		{"array", `[]`, "", ErrBody},
		{"null", `null`, "", ErrBody},
		{"cut", `{"model":"x"`, "", ErrBody},
		{"two values", `{} {}`, "", ErrBody},
		{"empty", ``, "", ErrBody},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			got, err := requestBody([]byte(test.body), "m", "1")
			is.Equal(string(got), test.want)
			is.True(errors.Is(err, test.err))
		})
	}
}

// FuzzRequestBody decodes the rewritten body with encoding/json and checks that
// only the overridden fields differ from the original.
func FuzzRequestBody(f *testing.F) {
	f.Add([]byte(`{"model":"x","messages":[{"content":"a\"}\\"}],"n":1e3,"s":"\\"}`))
	f.Add([]byte(` {"\ud800":1, "a" : {"b":[{},null,true]} , "":""} `))
	f.Add([]byte(`{"a":"}","a":"{","mOdel":{}}`))
	f.Add([]byte("{}\f"))
	f.Add([]byte(`{"a":1e999}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		is := is.New(t)
		got, err := requestBody(body, "m", "1")
		if err != nil {
			is.True(errors.Is(err, ErrBody))
			return
		}
		var want, have map[string]json.RawMessage
		is.NoErr(json.Unmarshal(body, &want))
		is.NoErr(json.Unmarshal(got, &have))
		for key := range want {
			if isOverridden(key) {
				delete(want, key)
			}
		}
		want[fieldModel] = json.RawMessage(`"m@1"`)
		want[fieldStream] = json.RawMessage(`true`)
		want[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
		is.Equal(have, want)
	})
}
