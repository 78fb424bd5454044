package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"

	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/client"
)

// The outcome of a commit whose response was lost is found by reading the row
// back.
func ExamplePlatform_Table() {
	server := platformd.New(platformd.Options{})
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	p := client.New(web.URL, client.Options{})
	defer p.Close()

	ctx := context.Background()
	server.Table().LoseNextResponses(1)
	_, err := p.Table().Commit(ctx, storage.Txn{
		Conditions: []storage.Condition{{Key: "claim"}},
		Puts:       []storage.Put{{Key: "claim", Value: []byte("attempt-1")}},
	})
	fmt.Println(errors.Is(err, storage.ErrUnknown))
	row, err := p.Table().Get(ctx, "claim")
	fmt.Println(string(row.Value), err)
	// Output:
	// true
	// attempt-1 <nil>
}
