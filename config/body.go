package config

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// Load reads, verifies and compiles the manifest that head names.
func (s *Store) Load(ctx context.Context, head Head) (*manifest.Policy, error) {
	body, err := s.objects.Read(ctx, bodyName(head.Digest))
	if err != nil {
		return nil, fmt.Errorf("config: read body of epoch %d: %w", head.Epoch, err)
	}
	return compile(body, head)
}

// LoadEpoch is Load for the manifest that was accepted under epoch.
func (s *Store) LoadEpoch(ctx context.Context, epoch uint64) (*manifest.Policy, error) {
	head, err := s.acceptedAt(ctx, epoch)
	if err != nil {
		return nil, err
	}
	return s.Load(ctx, head)
}

// LoadFrom is Load for a host that has current in force. Where that is the
// parent, it reads the delta only, a few hundred bytes in place of the body.
func (s *Store) LoadFrom(ctx context.Context, head Head, current *manifest.Policy) (*manifest.Policy, error) {
	if current == nil || current.Digest != head.Parent {
		return s.Load(ctx, head)
	}
	policy, err := s.loadDelta(ctx, head, current)
	if err == nil {
		return policy, nil
	}
	return s.Load(ctx, head) // the delta is a help, no more
}

func (s *Store) loadDelta(ctx context.Context, head Head, current *manifest.Policy) (*manifest.Policy, error) {
	delta, err := s.objects.Read(ctx, deltaName(head.Digest))
	if err != nil {
		return nil, fmt.Errorf("config: read delta of epoch %d: %w", head.Epoch, err)
	}
	body, err := manifest.ApplyDelta(manifest.Encode(current.Document), delta)
	if err != nil {
		return nil, err
	}
	return compile(body, head)
}

// writeDelta stores what leads from the parent's body to the proposal's. It
// only saves traffic, so a failure is no failure of the submission.
func (s *Store) writeDelta(ctx context.Context, p *proposal) {
	if p.head.Parent == "" {
		return
	}
	parent, err := s.objects.Read(ctx, bodyName(p.head.Parent))
	if err != nil {
		return
	}
	delta := manifest.Delta(parent, p.body)
	if len(delta) < len(p.body) {
		_ = s.objects.Write(ctx, deltaName(p.head.Digest), delta)
	}
}

// compile verifies a body against its digest, so that it doesn't matter from
// where it came, and compiles it.
func compile(body []byte, head Head) (*manifest.Policy, error) {
	if digest := manifest.DigestCanonical(body); digest != head.Digest {
		return nil, fmt.Errorf("%w: body of epoch %d has digest %s, not %s", ErrDamaged, head.Epoch, digest, head.Digest)
	}
	doc, err := manifest.Parse(body)
	if err != nil {
		return nil, fmt.Errorf("config: body of epoch %d: %w", head.Epoch, err)
	}
	return manifest.Compile(doc, head.Epoch, head.Digest), nil
}
