package membership_test

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/membership"
)

// inProcessTransport is a transport that calls a Membership in the same
// process.
type inProcessTransport struct{ to *membership.Membership }

func (d *inProcessTransport) Exchange(ctx context.Context, _ membership.Member, m membership.Message) (membership.Message, error) {
	return d.to.HandleExchange(ctx, m)
}

func Example() {
	toSecond := &inProcessTransport{}
	first, err := membership.New(membership.Options{
		Self:      membership.Member{ID: "entry-1", Zone: "a", PeerAddr: "127.0.0.1:7946"},
		Seeds:     []string{"127.0.0.2:7946"},
		Transport: toSecond,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	second, err := membership.New(membership.Options{
		Self:      membership.Member{ID: "entry-2", Zone: "b", PeerAddr: "127.0.0.2:7946"},
		Transport: &inProcessTransport{to: first},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	toSecond.to = second

	arrived := make(chan struct{})
	second.Watch("leaving/", func(f membership.Fact) {
		fmt.Println(f.Key, f.Version)
		close(arrived)
	})
	if err := first.Put(membership.Fact{Key: "leaving/engine-3", Version: 1}); err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- first.Run(ctx) }()
	<-arrived
	cancel()
	fmt.Println(<-done)
	// Output:
	// leaving/engine-3 1
	// <nil>
}
