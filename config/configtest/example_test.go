package configtest_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/config/configtest"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/storage/faulty"
	"github.com/quetzalweir/quetzalweir/storage/memory"
)

func document() []byte {
	return manifest.Encode(&manifest.Document{
		Format:   manifest.Format,
		Build:    "build-1",
		Models:   []manifest.Model{{Name: "chat", Versions: []manifest.Version{{Name: "v1", State: manifest.Serving, Share: 100}}}},
		Classes:  []manifest.Class{{Name: "normal", DeadlineMs: 1000}},
		Sessions: manifest.Sessions{TTLSeconds: 60, OnWithdrawn: manifest.Refuse},
	})
}

// Hosts without a manifest accept no requests.
func Example() {
	network := configtest.NewNetwork()
	store := config.NewStore(memory.NewTable(), memory.NewObjects())
	for _, host := range []string{"a", "b"} {
		network.NewWatcher(config.WatcherOptions{Store: store}, host)
	}
	fmt.Println(network.States())
	// Output: map[a:none stopped b:none stopped]
}

// A host that is isolated during an outage of the table can't query the other hosts, so its
// evidence that its manifest is the newest expires and it accepts no requests.
func TestIsolate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := faulty.NewTable(memory.NewTable())
		store := config.NewStore(table, memory.NewObjects())
		_, err := store.Submit(context.Background(), document(), "job-1")
		is.NoErr(err)
		network := configtest.NewNetwork()
		network.Start(t, config.WatcherOptions{Store: store}, "a", "b", "c")
		time.Sleep(config.DefaultFreshnessBound)
		table.SetDown(true)
		network.Isolate("c")
		time.Sleep(2 * config.DefaultFreshnessBound)
		is.Equal(network.States(), map[string]string{"a": "1", "b": "1", "c": "1 stopped"})
		network.Isolate()
		time.Sleep(config.DefaultFreshnessBound)
		is.Equal(network.States(), map[string]string{"a": "1", "b": "1", "c": "1"})
	})
}
