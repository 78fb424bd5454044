package engine

import (
	"fmt"
	"net/http"

	"github.com/quetzalweir/quetzalweir/internal/standin/cut"
)

// delivery sends a job's frames over one connection, with the frame faults.
type delivery struct {
	engine *Engine
	job    *job
	faults Faults
	w      http.ResponseWriter
	// resumed says that this isn't the first connection of the answer.
	resumed bool
	// sent counts the events on this connection; a cut comes after cutAfter
	// of them, unless that is negative.
	sent     int
	cutAfter int
	// held are frames that go out later, by the number they follow.
	held map[int][]int
}

const noCut = -1

// deliver sends the frames above number after until the answer's end.
func (e *Engine) deliver(w http.ResponseWriter, r *http.Request, j *job, after int, resumed bool) {
	d := &delivery{engine: e, job: j, faults: e.faults.get(), w: w, resumed: resumed, cutAfter: noCut, held: make(map[int][]int)}
	if e.cutter.Take(cut.MidAnswer) {
		d.cutAfter = e.cutter.Frames()
	}
	control := http.NewResponseController(w)
	_ = control.Flush()
	d.cutIfDue()
	for {
		frames, done, grown := j.from(after)
		for range frames {
			e.faults.waitStall()
			after++
			d.frame(after)
		}
		if done {
			d.flushHeld()
			return
		}
		if control.Flush() != nil {
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		}
	}
}

// frame sends the frame with number n, or holds it back.
func (d *delivery) frame(n int) {
	if hits(d.faults.LoseEvery, n) && !d.resumed {
		return
	}
	if hits(d.faults.CrossEvery, n) {
		d.crossed(n)
	}
	if by := d.delay(n); by > 0 && !d.resumed {
		d.held[n+by] = append(d.held[n+by], n)
		return
	}
	d.event(n)
	if hits(d.faults.DuplicateEvery, n) {
		d.event(n)
	}
	for _, late := range d.held[n] {
		d.event(late)
	}
	delete(d.held, n)
}

// delay is by how many frames the frame n comes too late.
func (d *delivery) delay(n int) int {
	if hits(d.faults.ReorderEvery, n) {
		return 1
	}
	if hits(d.faults.LateEvery, n) {
		return d.faults.LateBy
	}
	return 0
}

// flushHeld sends the frames that are held back beyond the end mark.
func (d *delivery) flushHeld() {
	for _, numbers := range d.held {
		for _, n := range numbers {
			d.event(n)
		}
	}
}

func (d *delivery) event(n int) {
	frames, _, _ := d.job.from(n - 1)
	writeEvent(d.w, d.job.eventID(n), frames[0])
	d.sent++
	d.cutIfDue()
}

// crossed sends a frame of another job, or an invented one without another.
func (d *delivery) crossed(n int) {
	other := d.engine.jobs.stranger(d.job)
	if other == nil {
		other = newJob("another-"+d.job.requestID, d.job.versioned, nil)
	}
	frames, _, _ := other.from(0)
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
	cut.Now()
}

func writeEvent(w http.ResponseWriter, id string, data []byte) {
	fmt.Fprintf(w, "id: %s\ndata: %s\n\n", id, data)
}

func hits(every, n int) bool {
	return every > 0 && n%every == 0
}
