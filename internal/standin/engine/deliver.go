package engine

import (
	"fmt"
	"net/http"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
)

// delivery sends the frames of a job over one connection and applies the frame
// faults. A frame is one server-sent event.
type delivery struct {
	engine *Engine
	job    *job
	faults Faults
	w      http.ResponseWriter
	// resumed is whether the connection resumes an answer that began on another
	// connection.
	resumed bool
	// sent is the number of the job's frames sent on this connection. The
	// connection is cut after cutAfter frames, or never if cutAfter is noCut.
	sent     int
	cutAfter int
	// delayed holds the numbers of frames to send late, by the number of the
	// frame after which they are sent.
	delayed map[int][]int
}

const noCut = -1

// sendFrames sends the frames with numbers above after until the end of the
// answer.
func (e *Engine) sendFrames(w http.ResponseWriter, r *http.Request, j *job, after int, resumed bool) {
	d := &delivery{engine: e, job: j, faults: e.faults.get(), w: w, resumed: resumed, cutAfter: noCut, delayed: make(map[int][]int)}
	if e.cutter.Take(cut.MidAnswer) {
		d.cutAfter = e.cutter.Frames()
	}
	control := http.NewResponseController(w)
	_ = control.Flush()
	d.cutIfDue()
	for {
		frames, done, changed := j.framesAfter(after)
		for range frames {
			e.faults.waitWhileStalled()
			after++
			d.sendFrame(after)
		}
		if done {
			d.flushDelayed()
			return
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// sendFrame sends frame n with the faults that apply to it. Frames of a resumed
// stream are neither dropped nor delayed.
func (d *delivery) sendFrame(n int) {
	if isEveryNth(d.faults.LoseEvery, n) && !d.resumed {
		return
	}
	if isEveryNth(d.faults.CrossEvery, n) {
		d.sendCrossedFrame(n)
	}
	if by := d.frameDelay(n); by > 0 && !d.resumed {
		d.delayed[n+by] = append(d.delayed[n+by], n)
		return
	}
	d.writeFrame(n)
	if isEveryNth(d.faults.DuplicateEvery, n) {
		d.writeFrame(n)
	}
	for _, late := range d.delayed[n] {
		d.writeFrame(late)
	}
	delete(d.delayed, n)
}

// frameDelay returns by how many frames frame n is delayed; 0 means not at all.
func (d *delivery) frameDelay(n int) int {
	if isEveryNth(d.faults.ReorderEvery, n) {
		return 1
	}
	if isEveryNth(d.faults.LateEvery, n) {
		return d.faults.LateBy
	}
	return 0
}

// flushDelayed sends the frames that are still delayed after the last frame.
func (d *delivery) flushDelayed() {
	for _, numbers := range d.delayed {
		for _, n := range numbers {
			d.writeFrame(n)
		}
	}
}

func (d *delivery) writeFrame(n int) {
	frames, _, _ := d.job.framesAfter(n - 1)
	writeEvent(d.w, d.job.eventID(n), frames[0])
	d.sent++
	d.cutIfDue()
}

// sendCrossedFrame sends a frame of another job. If there is no other job, it
// sends a generated frame with another request ID.
func (d *delivery) sendCrossedFrame(n int) {
	other := d.engine.jobs.otherThan(d.job)
	if other == nil {
		other = newJob("another-"+d.job.requestID, d.job.modelVersion, nil)
	}
	frames, _, _ := other.framesAfter(0)
	data := other.chunk([]choice{{Delta: delta{Content: "crossed "}}}, nil)
	if len(frames) > 0 {
		n = min(n, len(frames))
		data = frames[n-1]
	}
	writeEvent(d.w, other.eventID(n), data)
}

func (d *delivery) cutIfDue() {
	if d.cutAfter == noCut || d.sent < d.cutAfter {
		return
	}
	_ = http.NewResponseController(d.w).Flush()
	cut.Abort()
}

func writeEvent(w http.ResponseWriter, id string, data []byte) {
	fmt.Fprintf(w, "id: %s\ndata: %s\n\n", id, data)
}

func isEveryNth(every, n int) bool {
	return every > 0 && n%every == 0
}
