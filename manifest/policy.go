package manifest

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
)

// Policy is a document with indexes for the request path. It is immutable; the
// values and slices that it returns are shared and must not be modified.
type Policy struct {
	// Epoch is the sequence number under which the document was accepted, from 1.
	Epoch uint64
	// Digest is the document's digest.
	Digest string
	// Document is the document that the policy was compiled from.
	Document *Document

	// keys maps the first 8 bytes of a digest to the keys whose digests begin with them.
	keys     map[uint64][]keyEntry
	models   map[string]*Model
	versions map[versionKey]*Version
	classes  map[string]int
	services map[string]*Service
	cascades map[string]*Cascade
	accounts map[string]*accountPermissions
}

type keyEntry struct {
	digest  [sha256.Size]byte
	account *Account
}

type versionKey struct{ model, version string }

// accountPermissions holds an account and its permitted versions, sorted by
// model name.
type accountPermissions struct {
	account *Account
	models  []permittedModel
}

type permittedModel struct {
	model string
	// versions is shared between accounts with the same permission.
	versions []Version
}

// Compile builds the policy of a document that Parse accepted. The document must
// not be modified afterwards.
func Compile(doc *Document, epoch uint64, digest string) *Policy {
	p := &Policy{
		Epoch:    epoch,
		Digest:   digest,
		Document: doc,
		keys:     make(map[uint64][]keyEntry, len(doc.Accounts)),
		models:   make(map[string]*Model, len(doc.Models)),
		versions: map[versionKey]*Version{},
		classes:  make(map[string]int, len(doc.Classes)),
		services: make(map[string]*Service, len(doc.Services)),
		cascades: make(map[string]*Cascade, len(doc.Cascades)),
		accounts: make(map[string]*accountPermissions, len(doc.Accounts)),
	}
	p.indexNames()
	p.addAccounts()
	return p
}

func (p *Policy) indexNames() {
	for i := range p.Document.Models {
		m := &p.Document.Models[i]
		p.models[m.Name] = m
		for j := range m.Versions {
			p.versions[versionKey{m.Name, m.Versions[j].Name}] = &m.Versions[j]
		}
	}
	for i := range p.Document.Classes {
		p.classes[p.Document.Classes[i].Name] = i
	}
	for i := range p.Document.Services {
		p.services[p.Document.Services[i].Name] = &p.Document.Services[i]
	}
	for i := range p.Document.Cascades {
		p.cascades[p.Document.Cascades[i].Name] = &p.Document.Cascades[i]
	}
}

func (p *Policy) addAccounts() {
	c := versionCache{}
	for i := range p.Document.Accounts {
		a := &p.Document.Accounts[i]
		p.addKeys(a)
		list := make([]permittedModel, 0, len(a.Models))
		for _, permission := range a.Models {
			versions := c.permittedVersions(p.models[permission.Model], permission)
			list = append(list, permittedModel{model: permission.Model, versions: versions})
		}
		slices.SortFunc(list, func(x, y permittedModel) int { return cmp.Compare(x.model, y.model) })
		p.accounts[a.Name] = &accountPermissions{account: a, models: list}
	}
}

func (p *Policy) addKeys(a *Account) {
	for _, text := range a.KeySHA256 {
		entry := keyEntry{account: a}
		if _, err := hex.Decode(entry.digest[:], []byte(text)); err != nil {
			continue // can't happen: Parse rejects such text
		}
		bucket := keyBucket(entry.digest)
		p.keys[bucket] = append(p.keys[bucket], entry)
	}
}

func keyBucket(digest [sha256.Size]byte) uint64 {
	return binary.BigEndian.Uint64(digest[:8])
}

// versionCache caches the lists of permitted versions by model and version names,
// since most accounts share a few permissions.
type versionCache map[string][]Version

func (c versionCache) permittedVersions(m *Model, permission Permission) []Version {
	if m == nil {
		return nil
	}
	key := m.Name + "\x00" + strings.Join(permission.Versions, "\x00")
	if list, ok := c[key]; ok {
		return list
	}
	var list []Version
	for i := range m.Versions {
		v := m.Versions[i]
		included := len(permission.Versions) == 0 || slices.Contains(permission.Versions, v.Name)
		if included && v.State != Withdrawn {
			list = append(list, v)
		}
	}
	c[key] = slices.Clip(list)
	return c[key]
}

// AccountByKey returns the account that a key belongs to. It looks the key up by
// its SHA-256 digest and compares digests in constant time, so that the response
// time reveals nothing about existing keys.
func (p *Policy) AccountByKey(key string) (*Account, bool) {
	digest := sha256.Sum256([]byte(key))
	for _, candidate := range p.keys[keyBucket(digest)] {
		if subtle.ConstantTimeCompare(digest[:], candidate.digest[:]) == 1 {
			return candidate.account, true
		}
	}
	return nil, false
}

// Account returns the account with the given name.
func (p *Policy) Account(name string) (*Account, bool) {
	entry, ok := p.accounts[name]
	if !ok {
		return nil, false
	}
	return entry.account, true
}

// Model returns the model with the given name.
func (p *Policy) Model(name string) (*Model, bool) {
	m, ok := p.models[name]
	return m, ok
}

// PermittedVersions returns the versions of a model that an account may use and
// that aren't withdrawn, in document order. The list is empty if there are none or
// if the account or model doesn't exist.
func (p *Policy) PermittedVersions(account, model string) []Version {
	entry, ok := p.accounts[account]
	if !ok {
		return nil
	}
	i, found := slices.BinarySearchFunc(entry.models, model, func(m permittedModel, name string) int {
		return cmp.Compare(m.model, name)
	})
	if !found {
		return nil
	}
	return entry.models[i].versions
}

// Version returns a version of a model, withdrawn ones included.
func (p *Policy) Version(model, version string) (Version, bool) {
	v, ok := p.versions[versionKey{model, version}]
	if !ok {
		return Version{}, false
	}
	return *v, true
}

// Class returns the class with the given name and its priority; 0 is the highest.
func (p *Policy) Class(name string) (class Class, priority int, ok bool) {
	i, ok := p.classes[name]
	if !ok {
		return Class{}, 0, false
	}
	return p.Document.Classes[i], i, true
}

// Service returns the plain service with the given name.
func (p *Policy) Service(name string) (*Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Route returns the first route of a service that matches a call. A path with
// empty or dot segments matches none, as an upstream might resolve it to a path
// other than the one that was matched.
func (p *Policy) Route(service, method, path string) (Route, bool) {
	s, ok := p.services[service]
	if !ok || !hasCleanSegments(path) {
		return Route{}, false
	}
	for _, r := range s.Routes {
		if r.matches(method, path) {
			return r, true
		}
	}
	return Route{}, false
}

// Cascade returns the cascade with the given name.
func (p *Policy) Cascade(name string) (*Cascade, bool) {
	c, ok := p.cascades[name]
	return c, ok
}

// String returns the epoch and digest, for logs.
func (p *Policy) String() string {
	return strconv.FormatUint(p.Epoch, 10) + "/" + p.Digest
}
