package engine

import (
	"sync"
	"time"
)

// jobTable holds the jobs whose answers can be resumed, by request ID.
type jobTable struct {
	mu   sync.Mutex
	byID map[string]*job
	// lastRemoved is the job last passed to remove. The fault CrossEvery uses
	// its frames when the table has no other job.
	lastRemoved *job
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

// remove removes the job, unless a newer one has replaced it under its ID.
func (t *jobTable) remove(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[j.requestID] == j {
		delete(t.byID, j.requestID)
	}
	t.lastRemoved = j
}

// otherThan returns a job with a request ID other than that of j if the table
// has one, or else lastRemoved, which can be nil.
func (t *jobTable) otherThan(j *job) *job {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, other := range t.byID {
		if other.requestID != j.requestID {
			return other
		}
	}
	return t.lastRemoved
}

// scheduleRemoval removes the job after AnswerRetention.
func (e *Engine) scheduleRemoval(j *job) {
	time.AfterFunc(e.opts.AnswerRetention, func() { e.jobs.remove(j) })
}
