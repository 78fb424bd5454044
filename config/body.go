package config

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// Load reads, verifies and compiles the manifest with head's digest.
func (s *Store) Load(ctx context.Context, head Head) (*manifest.Policy, error) {
	body, err := s.objects.Read(ctx, bodyName(head.Digest))
	if err != nil {
		return nil, fmt.Errorf("config: read body of epoch %d: %w", head.Epoch, err)
	}
	return verifyAndCompile(body, head)
}

// LoadEpoch loads the manifest that was accepted as epoch, as Load does.
func (s *Store) LoadEpoch(ctx context.Context, epoch uint64) (*manifest.Policy, error) {
	head, err := s.readEpoch(ctx, epoch)
	if err != nil {
		return nil, err
	}
	return s.Load(ctx, head)
}

// LoadFrom loads the manifest with head's digest, as Load does, for a host that has
// the manifest current in force. If current is the parent of the one to load, LoadFrom
// reads only the delta, which has a few hundred bytes, instead of the whole body.
func (s *Store) LoadFrom(ctx context.Context, head Head, current *manifest.Policy) (*manifest.Policy, error) {
	if current == nil || current.Digest != head.Parent {
		return s.Load(ctx, head)
	}
	policy, err := s.loadDelta(ctx, head, current)
	if err == nil {
		return policy, nil
	}
	return s.Load(ctx, head) // the delta is only an optimization
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
	return verifyAndCompile(body, head)
}

// writeDelta stores the delta from the parent's body to the proposal's body. The delta
// only saves traffic, so the submission continues if the delta can't be written.
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

// verifyAndCompile compiles a body after it has checked that the body has head's digest,
// so that the body may come from an untrusted source.
func verifyAndCompile(body []byte, head Head) (*manifest.Policy, error) {
	if digest := manifest.DigestCanonical(body); digest != head.Digest {
		return nil, fmt.Errorf("%w: body of epoch %d has digest %s, not %s", ErrCorrupt, head.Epoch, digest, head.Digest)
	}
	doc, err := manifest.Parse(body)
	if err != nil {
		return nil, fmt.Errorf("config: body of epoch %d: %w", head.Epoch, err)
	}
	return manifest.Compile(doc, head.Epoch, head.Digest), nil
}
