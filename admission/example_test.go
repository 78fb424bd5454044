package admission_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
)

func Example() {
	queue := admission.New(admission.Options{
		Capacity: 1,
		Classes: []admission.ClassOptions{
			{Name: "interactive", MinShare: 0.2},
			{Name: "batch", MinShare: 0.1},
		},
	})
	ctx := context.Background()
	ticket := admission.Ticket{
		Account:  "acme",
		Weight:   1,
		Class:    "interactive",
		Deadline: time.Now().Add(time.Minute),
		Estimate: 40 * time.Second,
	}
	grant, err := queue.Admit(ctx, ticket)
	fmt.Println("first:", err)
	_, err = queue.Admit(ctx, ticket)
	var unmeetable *admission.UnmeetableError
	fmt.Println("second refused immediately:", errors.As(err, &unmeetable))
	grant.Done()
	// Output:
	// first: <nil>
	// second refused immediately: true
}
