package engine

import (
	"sync"
	"time"
)

// jobTable holds the answers that can be resumed, by request id.
type jobTable struct {
	mu   sync.Mutex
	byID map[string]*job
	// other is an earlier job, whose frames serve as crossed ones.
	other *job
}

func (t *jobTable) put(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]*job)
	}
	t.byID[j.requestID] = j
}

func (t *jobTable) get(requestID string) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[requestID]
}

// remove drops the job unless a newer one has its id.
func (t *jobTable) remove(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[j.requestID] == j {
		delete(t.byID, j.requestID)
	}
	t.other = j
}

// stranger returns a job other than j, or nil.
func (t *jobTable) stranger(j *job) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.byID {
		if other.requestID != j.requestID {
			return other
		}
	}
	return t.other
}

// forgetLater drops the answer when it has been kept long enough.
func (e *Engine) forgetLater(j *job) {
	time.AfterFunc(e.opts.KeepAnswers, func() { e.jobs.remove(j) })
}
