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

// callerGrace is how long after the deadline a caller still waits, so that the
// host's word on it arrives.
const callerGrace = 200 * time.Millisecond

// verdict is what a request came to.
type verdict int

const (
	// answered is a whole answer in time.
	answered verdict = iota
	// late is a whole answer after the deadline, or none by then.
	late
	// refused was turned away and didn't run.
	refused
	// lost is anything else: an error, or an answer that isn't whole or right.
	lost
	verdicts
)

// reply is what a caller got.
type reply struct {
	requestID      string
	model, version string
	text           string
	// whole says that the answer came with its end and the code 0.
	whole bool
	code  resultcode.Code
	state string
	// firstToken and end count from the intended start; firstToken is zero
	// without a token.
	firstToken time.Duration
	end        time.Duration
}

// send sends a request and reads what comes. The reply counts as far as it came
// if the caller left.
func (s *system) send(ctx context.Context, r request, host string) reply {
	due := loadgen.IntendedStart(ctx)
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.class.deadline+callerGrace))
	defer cancel()
	got := reply{code: resultcode.Internal}
	req, err := s.newRequest(ctx, r, host, due)
	if err != nil {
		return got
	}
	resp, err := s.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		got.read(resp, due)
	}
	got.end = time.Since(due)
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
	req.GetBody = nil // the client must not repeat a request by itself
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
	if r.key != "" {
		h.Set("Quetzalweir-Request-Key", r.key)
	}
	return req, nil
}

// read takes the answer in, streamed or not.
func (a *reply) read(resp *http.Response, due time.Time) {
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
		a.event(data, due)
	}
	a.code, a.state = outcome(resp)
	a.whole = ended && lines.Err() == nil && a.code == resultcode.OK
}

// event takes in one chunk of a streamed answer.
func (a *reply) event(data []byte, due time.Time) {
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

// outcome reads the code and the run state, which follow a streamed answer.
func outcome(resp *http.Response) (resultcode.Code, string) {
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

// judge says what a request came to.
func judge(r request, got reply) verdict {
	switch {
	case got.whole && !right(r, got):
		return lost
	case got.whole && got.end <= r.class.deadline:
		return answered
	case got.whole, got.code == resultcode.DeadlineExpired, got.end >= r.class.deadline:
		return late
	case refusedCode(got.code) && got.state == runstate.NotRun.String():
		return refused
	default:
		return lost
	}
}

// right says whether an answer is the one to its own request.
func right(r request, got reply) bool {
	if r.route == serviceDesk {
		return true
	}
	return got.text == engine.ExpectedAnswer(got.model, got.version, r.prompt) ||
		got.text == engine.ExpectedBadAnswer(got.model, got.version, r.prompt)
}
