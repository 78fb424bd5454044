package claim

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
)

// objectPrefix is the prefix of the objects that hold answers. The day in the
// name lets the store's own rules delete old ones.
const objectPrefix = "claims/"

// answers keeps large answers in the object store.
type answers struct {
	objects storage.Objects
	// inlineBytes is the largest answer kept in the row.
	inlineBytes int
}

// storedAnswer is the content of an object.
type storedAnswer struct {
	Header []byte `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// store returns the record to write, after moving a large answer into an
// object. Writing the same answer again gives the same object.
func (a answers) store(ctx context.Context, rec record) (record, error) {
	if rec.Result == nil || rec.Result.size() <= a.inlineBytes {
		return rec, nil
	}
	data, err := json.Marshal(storedAnswer{Header: rec.Result.Header, Body: rec.Result.Body})
	if err != nil {
		return record{}, fmt.Errorf("claim: encode answer: %w", err)
	}
	rec.Object = objectPrefix + rec.ClaimedAt.Format("2006-01-02") + "/" + rec.Token
	if err := a.objects.Write(ctx, rec.Object, data); err != nil {
		return record{}, fmt.Errorf("claim: write answer: %w", err)
	}
	small := *rec.Result
	small.Header, small.Body = nil, nil
	rec.Result = &small
	return rec, nil
}

// load returns the whole result of a finished record.
func (a answers) load(ctx context.Context, rec record) (Result, error) {
	if rec.Object == "" {
		return *rec.Result, nil
	}
	data, err := a.objects.Read(ctx, rec.Object)
	if err != nil {
		return Result{}, fmt.Errorf("claim: read answer: %w", err)
	}
	var stored storedAnswer
	if err := json.Unmarshal(data, &stored); err != nil {
		return Result{}, fmt.Errorf("claim: decode answer: %w", err)
	}
	result := *rec.Result
	result.Header, result.Body = stored.Header, stored.Body
	return result, nil
}
