package manifest_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// keyDigest is the key digest of the first account in the example.
const keyDigest = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"

// parseProblems parses data and returns the problems, or nil if it is valid.
func parseProblems(t *testing.T, data []byte) manifest.Errors {
	t.Helper()
	doc, err := manifest.Parse(data)
	if err == nil {
		return nil
	}
	var list manifest.Errors
	is.New(t).True(errors.As(err, &list)) // every error is of type Errors
	is.New(t).Equal(doc, nil)
	return list
}

func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		// old is replaced by new once in the example's text.
		desc, old, new string
		// want has "path: start of the message" for each problem, in order.
		want []string
	}{
		{"unknown field", `"build"`, `"extra": {"a": [1]}, "build"`, []string{"extra: unknown field"}},
		{"field of another case", `"build"`, `"Build"`, []string{"Build: unknown field", "build: missing field"}},
		{"duplicate key", `"build"`, `"parent": "", "build"`, []string{"parent: duplicate key"}},
		{"duplicate key in an unknown field", `"build"`, `"x": {"a": 1, "a": 2}, "build"`, []string{"x: unknown field", "x.a: duplicate key"}},
		{"wrong type", `"share": 90`, `"share": "90"`, []string{"models[0].versions[0].share: wrong type: a string"}},
		{"fraction for a whole number", `"share": 90`, `"share": 90.0`, []string{"models[0].versions[0].share: wrong number"}},
		{"number too large", `"burst": 100`, `"burst": 1e400`, []string{"accounts[0].burst: wrong number"}},
		{"float too large", `"target": 0.8`, `"target": 1e400`, []string{"cascades[0].target: wrong number"}},
		{"null", `"build": "pipeline-1042"`, `"build": null`, []string{"build: wrong type: null"}},
		{"object for an array", `"steps": ["chat-small", "chat-large"]`, `"steps": {"a": 1}`, []string{"cascades[0].steps: wrong type: an object"}},
		{"array for an object", `"sessions": { "ttl_seconds": 86400, "on_withdrawn": "rebind" }`, `"sessions": [1]`, []string{"sessions: wrong type: an array"}},
		{"boolean for a string", `"name": "v7"`, `"name": true`, []string{"models[0].versions[0].name: wrong type: a boolean", "accounts[1].models[0].versions[0]: unknown version"}},
		{"missing field", `"weight": 4`, `"burst": 100`, []string{"accounts[0].burst: duplicate key", "accounts[0].weight: missing field"}},
		{"format", `"format": 1`, `"format": 2`, []string{"format: unknown format"}},
		{"parent", `"parent": ""`, `"parent": "sha256:ABC"`, []string{"parent: bad digest"}},
		{"build label", `"pipeline-1042"`, `"a\u0000b"`, []string{"build: bad build label"}},
		{"lone surrogate", `"pipeline-1042"`, `"\ud800"`, []string{"build: bad build label"}},
		{"name", `"name": "archive"`, `"name": "a/b"`, []string{"accounts[1].name: bad name"}},
		{"duplicate model", `"name": "chat-large"`, `"name": "chat-small"`, []string{
			"models[0].name: duplicate model", "models[1].name: duplicate model",
			"cascades[0].steps[1]: unknown model", "accounts[0].models[1].model: unknown model"}},
		{"version twice, rolling in and out", `"name": "v6"`, `"name": "v8"`, []string{
			"models[0].versions[1].name: duplicate version", "models[0].versions[2].name: duplicate version"}},
		{"state", `"state": "withdrawn"`, `"state": "gone"`, []string{"models[1].versions[1].state: unknown value"}},
		{"sum of shares", `"share": 10,`, `"share": 11,`, []string{"models[0].versions: the shares have a wrong sum"}},
		{"share out of range", `"share": 90`, `"share": 101`, []string{"models[0].versions[0].share: out of range"}},
		{"share of a withdrawn version", `"state": "withdrawn",
          "share": 0`, `"state": "withdrawn", "share": 5`, []string{"models[1].versions[1].share: a version that is withdrawn takes no share"}},
		{"exposure of a serving version", `"state": "rolling-in"`, `"state": "serving"`, []string{"models[0].versions[1].exposure: only a version that is rolling-in"}},
		{"exposure values", `"answers": 500,
            "max_error_rate": 0.02`, `"answers": 0, "max_error_rate": 1.5`, []string{
			"models[0].versions[1].exposure.answers: out of range", "models[0].versions[1].exposure.max_error_rate: out of range"}},
		{"exposure round", `"round": 1`, `"round": 0`, []string{"models[0].versions[1].exposure.round: out of range"}},
		{"price", `"prompt_price": 150`, `"prompt_price": -1`, []string{"models[0].versions[0].prompt_price: out of range"}},
		{"cascade named as a model", `"name": "chat-auto"`, `"name": "chat-small"`, []string{
			"cascades[0].name: the name of a model", "accounts[0].cascades[0]: unknown cascade"}},
		{"cascade of one step", `["chat-small", "chat-large"]`, `["chat-small"]`, []string{"cascades[0].steps: wrong number of entries"}},
		{"cascade step unknown and another twice", `["chat-small", "chat-large"]`, `["a", "chat-large", "chat-large"]`, []string{
			"cascades[0].steps[0]: unknown model", "cascades[0].steps[1]: duplicate model", "cascades[0].steps[2]: duplicate model"}},
		{"rater failure", `"escalate"`, `"retry"`, []string{"cascades[0].on_rater_failure: unknown value"}},
		{"rater timeout", `"rater_timeout_ms": 800`, `"rater_timeout_ms": 0`, []string{"cascades[0].rater_timeout_ms: out of range"}},
		{"method", `"method": "GET"`, `"method": "get"`, []string{"services[0].routes[0].method: unknown value"}},
		{"path with dot segment", `"/v1/orders/"`, `"/v1/../orders/"`, []string{"services[0].routes[0].path: bad path"}},
		{"path with query", `"/v1/orders/"`, `"/v1/orders?x"`, []string{"services[0].routes[0].path: bad path"}},
		{"route hidden by an earlier one", `"GET", "path": "/v1/orders/"`, `"POST", "path": "/v1/"`, []string{"services[0].routes[1]: unreachable"}},
		{"no class", `"classes": ["background"]`, `"classes": []`, []string{"accounts[1].classes: wrong number of entries"}},
		{"class twice and unknown", `["question", "report"]`, `["report", "x", "report"]`, []string{
			"accounts[0].classes[1]: unknown class", "accounts[0].classes[0]: duplicate class", "accounts[0].classes[2]: duplicate class"}},
		{"sum of minimum shares", `"min_share": 50`, `"min_share": 80`, []string{"classes: the minimum shares have a wrong sum"}},
		{"deadline", `"deadline_ms": 10000`, `"deadline_ms": 0`, []string{"classes[1].deadline_ms: out of range"}},
		{"key that isn't a digest", `"` + keyDigest + `"`, `"secret-key"`, []string{"accounts[0].key_sha256[0]: bad digest of a key"}},
		{"key in upper case", keyDigest, strings.ToUpper(keyDigest), []string{"accounts[0].key_sha256[0]: bad digest of a key"}},
		{"key of two accounts", "84c2e27f5d87a7a45c7ab4b7a3a2c5f9d0b6f6a1b9f4d8de7b3e5f90a1c2d3e4", keyDigest, []string{
			"accounts[0].key_sha256[0]: duplicate key", "accounts[1].key_sha256[0]: duplicate key"}},
		{"permission of an unknown version", `["v3"]`, `["v9"]`, []string{"accounts[0].models[1].versions[0]: unknown version"}},
		{"permission twice", `{ "model": "chat-small" },`, `{ "model": "chat-large" },`, []string{
			"accounts[0].models[0].model: duplicate permission", "accounts[0].models[1].model: duplicate permission",
			"accounts[0].cascades[0]: the account has no permission for the step's model chat-small"}},
		{"unknown service", `["orders"]`, `["order"]`, []string{"accounts[0].services[0]: unknown service"}},
		{"rate without burst", `"requests_per_second": 0`, `"requests_per_second": 5`, []string{"accounts[1].burst: out of range"}},
		{"negative rate", `"requests_per_second": 50`, `"requests_per_second": -1`, []string{"accounts[0].requests_per_second: out of range"}},
		{"weight", `"weight": 1`, `"weight": 0`, []string{"accounts[1].weight: out of range"}},
		{"session", `"ttl_seconds": 86400, "on_withdrawn": "rebind"`, `"ttl_seconds": 0, "on_withdrawn": ""`, []string{
			"sessions.ttl_seconds: out of range", "sessions.on_withdrawn: unknown value"}},
		{"several at once", `"format": 1,`, `"format": 1, "a": 1, "format": 1,`, []string{"a: unknown field", "format: duplicate key"}},
		{"nested too deep", `"build"`, `"x": ` + strings.Repeat("[", 20) + strings.Repeat("]", 20) + `, "build"`, []string{"x: unknown field", ": not readable as JSON near byte"}},
		{"no JSON", `"build"`, `build`, []string{": not readable as JSON near byte"}},
		{"invalid UTF-8", `pipeline`, "\xff", []string{": invalid encoding"}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			example := string(readExample(t))
			is.True(strings.Contains(example, tc.old)) // the replacement applies
			list := parseProblems(t, []byte(strings.Replace(example, tc.old, tc.new, 1)))
			var got []string
			for i, p := range list {
				line := p.Path + ": " + p.Message
				if i < len(tc.want) && strings.HasPrefix(line, tc.want[i]) {
					line = tc.want[i]
				}
				got = append(got, line)
			}
			is.Equal(strings.Join(got, "\n"), strings.Join(tc.want, "\n"))
		})
	}
}

func TestRefusalsOfTheWholeText(t *testing.T) {
	example := string(readExample(t))
	for _, tc := range []struct{ desc, data, want string }{
		{"empty", "", ": not readable as JSON"},
		{"cut off", example[:len(example)/2], ": not readable as JSON"},
		{"trailing data", example + "{}", ": data after the end"},
		{"trailing garbage", example + "]", ": data after the end"},
		{"array", "[]", ": wrong type: an array"},
		{"null", "null", ": wrong type: null"},
		{"too large", strings.Repeat(" ", manifest.MaxDocumentBytes+1), ": too many bytes"},
		{"nothing to serve", `{"format":1,"parent":"","build":"b","models":[],"classes":[{"name":"a","deadline_ms":1,"min_share":0}],"accounts":[],"sessions":{"ttl_seconds":1,"on_withdrawn":"refuse"}}`, "models: neither a model nor a service"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			list := parseProblems(t, []byte(tc.data))
			is.Equal(len(list), 1)
			is.True(strings.HasPrefix(list[0].Path+": "+list[0].Message, tc.want))
		})
	}
}

// A key that was entered in place of its digest must not appear in the text of a problem,
// which is logged.
func TestProblemsContainNoKeys(t *testing.T) {
	is := is.New(t)
	data := strings.Replace(string(readExample(t)), keyDigest, "secret-key", 1)
	is.True(!strings.Contains(parseProblems(t, []byte(data)).Error(), "secret"))
}

func TestReportIsBounded(t *testing.T) {
	is := is.New(t)
	var unknown strings.Builder
	for i := range 3 * manifest.MaxProblems {
		fmt.Fprintf(&unknown, `"x%d": 1, `, i)
	}
	data := strings.Replace(string(readExample(t)), `"build"`, unknown.String()+`"build"`, 1)
	list := parseProblems(t, []byte(data))
	is.Equal(len(list), manifest.MaxProblems)
	is.Equal(list[len(list)-1].Message, "2001 more problems were left out")
}
