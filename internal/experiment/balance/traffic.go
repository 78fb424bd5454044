package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// Parameters of the traffic.
const (
	accountCount        = 10
	documentsPerAccount = 12  // shared by the account's sessions
	systemBlocks        = 16  // in an account's system prompt
	meanDocumentBlocks  = 60  // per document
	turnBlocks          = 3   // added to the prompt by each turn of a session
	meanTurns           = 6.0 // per session
	meanOutputTokens    = 120 // per answer
	meanThinkTime       = 8 * time.Second
	runDuration         = 4 * time.Minute
	warmUp              = 30 * time.Second
	// peakFactor multiplies the rate of new sessions in the third quarter of
	// the run.
	peakFactor = 1.6
)

// traffic generates sessions of several turns. Turns are open-loop: the next
// one starts a think time after the intended start of the one before, whether
// that was answered or not.
type traffic struct {
	queue     *simulate.Queue
	rnd       *rand.Rand
	rate      float64 // requests/s outside the peak
	hostCount int
	submit    func(r *request)
	lastID    int
}

// scheduleSession schedules the next session.
func (t *traffic) scheduleSession() {
	rate := t.rate / meanTurns
	at := t.queue.Now().Sub(simulate.Epoch)
	if at > runDuration/2 && at < runDuration*3/4 {
		rate *= peakFactor
	}
	t.queue.After(simulate.Exponential(t.rnd, time.Duration(float64(time.Second)/rate)), func() {
		t.startSession()
		t.scheduleSession()
	})
}

// startSession starts a session of a randomly drawn account; a few accounts
// have most of the sessions.
func (t *traffic) startSession() {
	t.lastID++
	account := int(accountCount * math.Pow(t.rnd.Float64(), 2.5))
	document := int(documentsPerAccount * math.Pow(t.rnd.Float64(), 1.5))
	hashes := appendBlocks(nil, systemBlocks, uint64(account+1))
	size := meanDocumentBlocks/2 + (account*7+document*13)%meanDocumentBlocks
	hashes = appendBlocks(hashes, size, uint64(document+1)<<16)
	t.sendTurn(fmt.Sprint("account-", account), fmt.Sprint("session-", t.lastID), hashes)
}

func (t *traffic) sendTurn(account, session string, hashes []uint64) {
	t.lastID++
	hashes = appendBlocks(hashes, turnBlocks, uint64(t.lastID)<<32)
	t.submit(&request{
		account:       account,
		session:       session,
		hashes:        hashes,
		outputTokens:  1 + int(meanOutputTokens*t.rnd.ExpFloat64()),
		intendedStart: t.queue.Now(),
		host:          t.rnd.IntN(t.hostCount),
	})
	if t.rnd.Float64() < 1-1/meanTurns {
		t.queue.After(simulate.Exponential(t.rnd, meanThinkTime), func() { t.sendTurn(account, session, hashes) })
	}
}

// appendBlocks returns prefix with n more block hashes, each of which depends
// on all hashes before it and on content.
func appendBlocks(prefix []uint64, n int, content uint64) []uint64 {
	hashes := append([]uint64(nil), prefix...)
	previous := uint64(0)
	if len(prefix) > 0 {
		previous = prefix[len(prefix)-1]
	}
	for range n {
		previous = mixBits(previous ^ content)
		hashes = append(hashes, previous)
	}
	return hashes
}

// mixBits is one step of splitmix64.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
