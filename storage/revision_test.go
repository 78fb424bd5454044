package storage_test

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/storage"
)

// Every revision of an era is greater than all revisions of earlier eras.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	is := is.New(t)
	ordered := []storage.Revision{
		0, storage.NewRevision(0, 1), storage.NewRevision(0, 57), storage.NewRevision(0, math.MaxUint64),
		storage.NewRevision(1, 0), storage.NewRevision(1, 40), storage.NewRevision(2, 12), storage.NewRevision(math.MaxUint64, 1),
	}
	for i := range ordered[1:] {
		is.True(ordered[i] < ordered[i+1])
	}
	r := storage.NewRevision(3, 57)
	is.Equal(r.Era(), uint64(3))
	is.Equal(r.Version(), uint64(57))
	is.Equal(r.String(), "3/57")
	is.Equal(storage.NewRevision(0, 57).String(), "57")

	data, err := json.Marshal(storage.NewRevision(65_535, 1<<47+1))
	is.NoErr(err)
	var decoded storage.Revision
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(decoded, storage.NewRevision(65_535, 1<<47+1)) // JSON in messages and rows keeps all 64 bits
}
