package placement

import (
	"testing"

	"github.com/matryer/is"
)

// Requests that may run once must not all run on a model whose answers are nearly always rejected, nor stay at the best
// model after the cheap one has become good enough.
func TestSingleRunsStayOnAModelThatAnswersPoorly(t *testing.T) {
	replay := func(m *SingleRunModels, requests int, reaches func(i int) bool) (cheap int) {
		for i := range requests {
			if m.UsesCheap() {
				cheap++
				m.Observe(reaches(i))
			}
		}
		return cheap
	}
	is := is.New(t)
	var m SingleRunModels
	is.True(m.UsesCheap()) // there is no record
	hard := replay(&m, 160, func(int) bool { return false })
	is.True(hard <= 12)
	easy := replay(&m, 400, func(int) bool { return true })
	is.True(easy >= 200)
	is.True(m.UsesCheap())
	mixed := replay(&m, 1000, func(i int) bool { return i%5 != 0 })
	is.True(mixed >= 900)
}
