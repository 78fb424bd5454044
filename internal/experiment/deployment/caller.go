package deployment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/loadgen"
	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/resultcode"
	"github.com/quetzalweir/quetzalweir/runstate"
)

// callerGrace is the time that a caller waits after its deadline, so that a
// refusal because of the deadline still arrives.
const callerGrace = 200 * time.Millisecond

// outcome is the outcome of a request as its caller sees it.
type outcome int

const (
	// inTime is a complete answer within the deadline.
	inTime outcome = iota
	// late is a complete answer after the deadline, or none until the deadline.
	late
	// refused is a refusal because of load, without a run.
	refused
	// lost is anything else: an error, or an incomplete or wrong answer.
	lost
	outcomeCount
)

// answer is what a caller got, possibly incomplete.
type answer struct {
	requestID      string
	model, version string
	text           string
	// complete is true if the answer arrived up to its end, with the result
	// code 0.
	complete bool
	code     resultcode.Code
	runState string
	// firstToken and total are the times from the intended start to the first
	// token and to the end; firstToken is 0 if there was no token.
	firstToken time.Duration
	total      time.Duration
}

// send sends a request and reads the answer. If the caller leaves, it returns
// the part that arrived before.
func (s *system) send(ctx context.Context, r request, host string) answer {
	due := loadgen.IntendedStart(ctx)
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.class.deadline+callerGrace))
	defer cancel()
	got := answer{code: resultcode.Internal}
	req, err := s.newRequest(ctx, r, host, due)
	if err != nil {
		return got
	}
	resp, err := s.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		got.read(resp, due)
	}
	got.total = time.Since(due)
	return got
}

func (s *system) newRequest(ctx context.Context, r request, host string, due time.Time) (*http.Request, error) {
	path := "/v1/chat/completions"
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, r.route, r.prompt)
	if r.route == serviceDesk {
		path = "/services/" + serviceDesk + "/confirmations"
		body = `{"part":7}`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents http.Transport from retrying the request
	h := req.Header
	h.Set("Authorization", "Bearer "+accountKey(r.account))
	h.Set("Quetzalweir-Class", r.class.name)
	deadline := time.Until(due.Add(r.class.deadline))
	if s.policy.hidesDeadlines {
		deadline = time.Minute
	}
	h.Set("Quetzalweir-Deadline-Ms", strconv.FormatInt(max(1, deadline.Milliseconds()), 10))
	if r.session != "" {
		h.Set("Quetzalweir-Session", r.session)
	}
	if r.requestKey != "" {
		h.Set("Quetzalweir-Request-Key", r.requestKey)
	}
	return req, nil
}

// read reads a response, streamed or not.
func (a *answer) read(resp *http.Response, due time.Time) {
	a.requestID = resp.Header.Get("Quetzalweir-Request-Id")
	a.model = resp.Header.Get("Quetzalweir-Model")
	a.version = resp.Header.Get("Quetzalweir-Version")
	ended := !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, isEvent := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !isEvent {
			continue
		}
		if string(data) == "[DONE]" {
			ended = true
			continue
		}
		a.addChunk(data, due)
	}
	a.code, a.runState = readResult(resp)
	a.complete = ended && lines.Err() == nil && a.code == resultcode.OK
}

// addChunk adds one chunk of a streamed answer.
func (a *answer) addChunk(data []byte, due time.Time) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	if a.firstToken == 0 {
		a.firstToken = time.Since(due)
	}
	a.text += chunk.Choices[0].Delta.Content
}

// readResult reads the result code and the run state, which are in the trailer
// of a streamed answer and in the header of others.
func readResult(resp *http.Response) (resultcode.Code, string) {
	const codeHeader, stateHeader = "Quetzalweir-Result-Code", "Quetzalweir-Run-State"
	from := resp.Header
	if resp.Trailer.Get(codeHeader) != "" {
		from = resp.Trailer
	}
	code, err := strconv.Atoi(from.Get(codeHeader))
	if err != nil {
		return resultcode.Internal, ""
	}
	return resultcode.Code(code), from.Get(stateHeader)
}

// classify returns the outcome of a request.
func classify(r request, got answer) outcome {
	switch {
	case got.complete && !isExpectedAnswer(r, got):
		return lost
	case got.complete && got.total <= r.class.deadline:
		return inTime
	case got.complete, got.code == resultcode.DeadlineExpired, got.total >= r.class.deadline:
		return late
	case isLoadRefusal(got.code) && got.runState == runstate.NotRun.String():
		return refused
	default:
		return lost
	}
}

// isExpectedAnswer reports whether an answer belongs to its request. The
// stand-in engine's answers, good and bad, are a function of the prompt;
// answers of the service aren't checked.
func isExpectedAnswer(r request, got answer) bool {
	if r.route == serviceDesk {
		return true
	}
	return got.text == engine.ExpectedAnswer(got.model, got.version, r.prompt) ||
		got.text == engine.ExpectedBadAnswer(got.model, got.version, r.prompt)
}
