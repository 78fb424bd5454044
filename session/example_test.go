package session_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/session"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func Example() {
	keys, err := session.ParseKeys("2026-03:" + strings.Repeat("5e", session.MinSecretBytes))
	if err != nil {
		fmt.Println(err)
		return
	}
	codec := session.NewCodec(keys, time.Hour, nil)
	versions := []manifest.Version{
		{Name: "v1", State: manifest.Serving, Share: 90},
		{Name: "v2", State: manifest.RollingIn, Share: 10},
	}
	version, _ := session.ChooseVersion(versions, session.SessionHash("acme", "call-17", "small"))
	token := codec.Mint(session.Binding{
		Account:   "acme",
		SessionID: "call-17",
		Model:     "small",
		Version:   version.Name,
		Epoch:     3,
	})
	binding, err := codec.Verify(token, "acme")
	fmt.Println(binding.Version == version.Name, err)
	_, err = codec.Verify(token, "other")
	fmt.Println(err)
	// Output:
	// true <nil>
	// session: token of another account
}

func ExampleRegistry() {
	registry := session.NewRegistry(session.Options{Table: memory.NewTable()})
	ctx := context.Background()
	for _, version := range []string{"v1", "v2"} {
		binding, durable, err := registry.Bind(ctx, session.Binding{
			Account:   "acme",
			SessionID: "call-17",
			Model:     "small",
			Version:   version,
		})
		fmt.Println(binding.Version, durable, err)
	}
	// Output:
	// v1 true <nil>
	// v1 true <nil>
}
