package storagetest

import (
	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/storage/faulty"
)

// mostFaultyCommits is how many commits one drawn fault is for at most.
const mostFaultyCommits = 6

// FaultActions returns actions for a rapid state machine that set the table's
// faults. None of them needs time to pass.
func FaultActions(table *faulty.Table) map[string]func(*rapid.T) {
	commits := func(t *rapid.T) int { return rapid.IntRange(1, mostFaultyCommits).Draw(t, "commits") }
	return map[string]func(*rapid.T){
		"outage":          func(t *rapid.T) { table.SetDown(rapid.Bool().Draw(t, "down")) },
		"answers lost":    func(t *rapid.T) { table.LoseNext(commits(t)) },
		"commits dropped": func(t *rapid.T) { table.DropNext(commits(t)) },
	}
}
