package entry

import (
	"context"
	"slices"
	"time"

	"github.com/quetzalweir/quetzalweir/resultcode"
)

// classify is the filter that sets the request's class, priority and deadline.
type classify struct{}

// Serve implements Filter.
func (classify) Serve(ctx context.Context, r *Request, next Next) error {
	if err := setClass(r); err != nil {
		return err
	}
	timeout := r.Patience
	if timeout == 0 {
		timeout = time.Duration(r.Class.DeadlineMs) * time.Millisecond
	}
	r.Deadline = r.Arrived.Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return next(ctx, r)
}

func setClass(r *Request) error {
	name := r.ClassArg
	if name == "" {
		name = r.Account.Classes[0]
	}
	class, priority, ok := r.Policy.Class(name)
	if !ok {
		return resultcode.New(resultcode.UnknownClass, "class %q isn't in the manifest", name)
	}
	if !slices.Contains(r.Account.Classes, name) {
		return resultcode.New(resultcode.ClassNotPermitted, "the account may not use class %q", name)
	}
	r.Class = class
	r.Priority = priority
	return nil
}
