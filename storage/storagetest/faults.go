package storagetest

import (
	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/storage/faulty"
)

// maxFaultyCommits bounds the number of commits that one drawn fault affects.
const maxFaultyCommits = 6

// FaultActions returns actions for a rapid state machine that set the table's
// faults. None of the faults depends on the passage of time.
func FaultActions(table *faulty.Table) map[string]func(*rapid.T) {
	commits := func(t *rapid.T) int { return rapid.IntRange(1, maxFaultyCommits).Draw(t, "commits") }
	return map[string]func(*rapid.T){
		"outage":          func(t *rapid.T) { table.SetDown(rapid.Bool().Draw(t, "down")) },
		"answers lost":    func(t *rapid.T) { table.LoseNextResponses(commits(t)) },
		"commits dropped": func(t *rapid.T) { table.DropNextCommits(commits(t)) },
	}
}
