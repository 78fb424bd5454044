package claim

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/quetzalweir/quetzalweir/storage"
)

// objectPrefix is the name prefix of the objects that hold results. Object names
// contain the date, so that lifecycle rules of the object store can delete old
// objects.
const objectPrefix = "claims/"

// resultStore stores large results in the object store.
type resultStore struct {
	objects storage.Objects
	// inlineBytes is the maximum size of a result that is stored in the row, in
	// bytes.
	inlineBytes int
}

// storedResult is the JSON form of an object that holds a result.
type storedResult struct {
	Header []byte `json:"header,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// storeIfLarge returns the record to write to the row. If the result is larger than
// inlineBytes, storeIfLarge writes the result to an object and returns a record that
// refers to it. Storing the same result again writes the same object.
func (r resultStore) storeIfLarge(ctx context.Context, rec record) (record, error) {
	if rec.Result == nil || rec.Result.size() <= r.inlineBytes {
		return rec, nil
	}
	data, err := json.Marshal(storedResult{Header: rec.Result.Header, Body: rec.Result.Body})
	if err != nil {
		return record{}, fmt.Errorf("claim: encode result: %w", err)
	}
	rec.Object = objectPrefix + rec.ClaimedAt.Format("2006-01-02") + "/" + rec.Token
	if err := r.objects.Write(ctx, rec.Object, data); err != nil {
		return record{}, fmt.Errorf("claim: write result: %w", err)
	}
	withoutContent := *rec.Result
	withoutContent.Header, withoutContent.Body = nil, nil
	rec.Result = &withoutContent
	return rec, nil
}

// load returns the complete result of a finished record.
func (r resultStore) load(ctx context.Context, rec record) (Result, error) {
	if rec.Object == "" {
		return *rec.Result, nil
	}
	data, err := r.objects.Read(ctx, rec.Object)
	if err != nil {
		return Result{}, fmt.Errorf("claim: read result: %w", err)
	}
	var stored storedResult
	if err := json.Unmarshal(data, &stored); err != nil {
		return Result{}, fmt.Errorf("claim: decode result: %w", err)
	}
	result := *rec.Result
	result.Header, result.Body = stored.Header, stored.Body
	return result, nil
}
