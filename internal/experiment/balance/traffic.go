package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/experiment/simulate"
)

// The traffic.
const (
	accounts       = 10
	documents      = 12  // of an account, shared by its sessions
	systemBlocks   = 16  // of an account's system prompt
	documentBlocks = 60  // mean
	turnBlocks     = 3   // added by each turn of a session
	meanTurns      = 6.0 // of a session
	outputTokens   = 120 // mean
	thinkTime      = 8 * time.Second
	length         = 4 * time.Minute
	warmUp         = 30 * time.Second
	// The peak lasts from a half to three quarters of the run.
	peakFactor = 1.6
)

// traffic makes sessions of turns. Turns are open-loop: the next one starts
// some time after the intended start of the one before.
type traffic struct {
	queue  *simulate.Queue
	rnd    *rand.Rand
	rate   float64 // requests/s outside the peak
	hosts  int
	submit func(r *request)
	serial int
}

// start schedules the next session.
func (t *traffic) start() {
	rate := t.rate / meanTurns
	at := t.queue.Now().Sub(simulate.Epoch)
	if at > length/2 && at < length*3/4 {
		rate *= peakFactor
	}
	t.queue.After(simulate.Exponential(t.rnd, time.Duration(float64(time.Second)/rate)), func() {
		t.session()
		t.start()
	})
}

// session begins a session of an account; few accounts have most of them.
func (t *traffic) session() {
	t.serial++
	account := int(accounts * math.Pow(t.rnd.Float64(), 2.5))
	document := int(documents * math.Pow(t.rnd.Float64(), 1.5))
	hashes := blocks(nil, systemBlocks, uint64(account+1))
	size := documentBlocks/2 + (account*7+document*13)%documentBlocks
	hashes = blocks(hashes, size, uint64(document+1)<<16)
	t.turn(fmt.Sprint("account-", account), fmt.Sprint("session-", t.serial), hashes)
}

func (t *traffic) turn(account, session string, hashes []uint64) {
	t.serial++
	hashes = blocks(hashes, turnBlocks, uint64(t.serial)<<32)
	t.submit(&request{
		account: account,
		session: session,
		hashes:  hashes,
		output:  1 + int(outputTokens*t.rnd.ExpFloat64()),
		started: t.queue.Now(),
		host:    t.rnd.IntN(t.hosts),
	})
	if t.rnd.Float64() < 1-1/meanTurns {
		t.queue.After(simulate.Exponential(t.rnd, thinkTime), func() { t.turn(account, session, hashes) })
	}
}

// blocks appends n block hashes that depend on all before and on the content.
func blocks(before []uint64, n int, content uint64) []uint64 {
	hashes := append([]uint64(nil), before...)
	previous := uint64(0)
	if len(before) > 0 {
		previous = before[len(before)-1]
	}
	for range n {
		previous = mix(previous ^ content)
		hashes = append(hashes, previous)
	}
	return hashes
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
