package manifest_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/quetzalweir/quetzalweir/manifest"
)

// drawDocument generates a valid document.
func drawDocument(t *rapid.T) *manifest.Document {
	doc := &manifest.Document{
		Format:   manifest.Format,
		Build:    rapid.StringMatching(`[a-zäß<&>" ]{1,20}`).Draw(t, "build"),
		Sessions: manifest.Sessions{TTLSeconds: rapid.IntRange(1, 9999).Draw(t, "ttl"), OnWithdrawn: manifest.Rebind},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		doc.Models = append(doc.Models, drawModel(t, fmt.Sprintf("m%d", i)))
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "classes") {
		doc.Classes = append(doc.Classes, manifest.Class{Name: fmt.Sprintf("c%d", i), DeadlineMs: 1 + i, MinShare: 10 * i})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "accounts") {
		doc.Accounts = append(doc.Accounts, drawAccount(t, doc, i))
	}
	return doc
}

func drawModel(t *rapid.T, name string) manifest.Model {
	m := manifest.Model{Name: name}
	remainingShare := 100
	states := []manifest.VersionState{manifest.Serving, manifest.RollingIn, manifest.RollingOut, manifest.Withdrawn}
	for i := range rapid.IntRange(0, 3).Draw(t, "versions") {
		v := manifest.Version{Name: fmt.Sprintf("v%d", i), State: rapid.SampledFrom(states).Draw(t, "state")}
		if v.State == manifest.Serving || v.State == manifest.RollingIn {
			v.Share = rapid.IntRange(0, remainingShare).Draw(t, "share")
			remainingShare -= v.Share
		}
		if v.State == manifest.RollingIn {
			v.Exposure = &manifest.Exposure{Round: 1, Answers: 1, MaxErrorRate: rapid.Float64Range(0, 1).Draw(t, "rate")}
		}
		m.Versions = append(m.Versions, v)
	}
	return manifest.Model{Name: name, Versions: append(m.Versions, manifest.Version{Name: "last", State: manifest.Serving, Share: remainingShare})}
}

func drawAccount(t *rapid.T, doc *manifest.Document, i int) manifest.Account {
	a := manifest.Account{
		Name: fmt.Sprintf("a%d", i), KeySHA256: []string{fmt.Sprintf("%064x", i)}, Weight: 1,
		Classes:           []string{doc.Classes[0].Name},
		RequestsPerSecond: rapid.Float64Range(0, 100).Draw(t, "rate"), Burst: 1,
	}
	for _, m := range doc.Models {
		if !rapid.Bool().Draw(t, "permitted") {
			continue
		}
		p := manifest.Permission{Model: m.Name}
		if rapid.Bool().Draw(t, "named") {
			p.Versions = []string{"last"}
		}
		a.Models = append(a.Models, p)
	}
	return a
}

// reorderKeys returns the same JSON value with sorted keys and with spaces.
func reorderKeys(t *rapid.T, data []byte) []byte {
	var value any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := d.Decode(&value); err != nil {
		t.Fatal(err)
	}
	out, err := json.MarshalIndent(value, " ", "   ") // sorts the keys
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		doc := drawDocument(t)
		canonical := manifest.Encode(doc)
		decoded, err := manifest.Parse(canonical)
		is.NoErr(err)
		is.Equal(doc, decoded)
		is.Equal(manifest.Encode(decoded), canonical)
		is.Equal(manifest.Digest(reorderKeys(t, canonical)), manifest.DigestCanonical(canonical))
		is.Equal(len(manifest.Diff(doc, decoded)), 0)
		checkPermitted(t, manifest.Compile(decoded, 1, ""))
	})
}

// checkPermitted compares the permitted versions of a policy with those computed
// directly from the document.
func checkPermitted(t *rapid.T, p *manifest.Policy) {
	is := is.New(t)
	for _, a := range p.Document.Accounts {
		for _, m := range p.Document.Models {
			var want []manifest.Version
			for _, permission := range a.Models {
				for _, v := range m.Versions {
					included := len(permission.Versions) == 0 || permission.Versions[0] == v.Name
					if permission.Model == m.Name && included && v.State != manifest.Withdrawn {
						want = append(want, v)
					}
				}
			}
			is.Equal(p.PermittedVersions(a.Name, m.Name), want)
		}
	}
}

// FuzzParse checks that the canonical form of every document that Parse accepts
// parses to an equal document.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f))
	f.Add([]byte(`{"format":1,"a":{"b":[null,1e9,"\ud800"]},"a":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		doc, err := manifest.Parse(data)
		if err != nil {
			is.True(len(err.(manifest.Errors)) > 0)
			is.True(len(err.(manifest.Errors)) <= manifest.MaxProblems)
			return
		}
		decoded, err := manifest.Parse(manifest.Encode(doc))
		is.NoErr(err)
		is.Equal(doc, decoded)
		manifest.Compile(doc, 1, "")
	})
}

func TestDiff(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		change func(*manifest.Document)
		want   []manifest.Change
	}{
		{"nothing", func(*manifest.Document) {}, nil},
		{"share", func(d *manifest.Document) { d.Models[0].Versions[1].Share = 20 },
			[]manifest.Change{{Path: "models[chat-small].versions[v8].share", Old: "10", New: "20"}}},
		{"exposure removed", func(d *manifest.Document) { d.Models[0].Versions[1].Exposure = nil },
			[]manifest.Change{{Path: "models[chat-small].versions[v8].exposure",
				Old: `{"round":1,"answers":500,"max_error_rate":0.02,"min_rating":0.7,"max_latency_ms":1500}`}}},
		{"services removed", func(d *manifest.Document) { d.Accounts[0].Services = nil },
			[]manifest.Change{{Path: "accounts[north-desk].services", Old: `["orders"]`}}},
		{"class added", func(d *manifest.Document) { d.Classes = append(d.Classes, manifest.Class{Name: "x"}) },
			[]manifest.Change{{Path: "classes[x]", New: `{"name":"x","deadline_ms":0,"min_share":0}`}}},
		{"class removed", func(d *manifest.Document) { d.Classes = d.Classes[1:] },
			[]manifest.Change{{Path: "classes[report]", Old: `{"name":"report","deadline_ms":60000,"min_share":50}`}}},
		{"order of classes", func(d *manifest.Document) { d.Classes[0], d.Classes[1] = d.Classes[1], d.Classes[0] },
			[]manifest.Change{{Path: "classes", Old: "report,question,background", New: "question,report,background"}}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			after := parseExample(t)
			tc.change(after)
			is.New(t).Equal(manifest.Diff(parseExample(t), after), tc.want)
		})
	}
}

// sizedDocument returns a document with the given numbers of entries; a third of
// the permissions name one version.
func sizedDocument(accounts, models, versions int) *manifest.Document {
	random := rand.New(rand.NewPCG(1, 2))
	doc := &manifest.Document{Format: manifest.Format, Build: "bench", Sessions: manifest.Sessions{TTLSeconds: 1, OnWithdrawn: manifest.Refuse}}
	doc.Classes = []manifest.Class{{Name: "c", DeadlineMs: 1}}
	for i := range models {
		m := manifest.Model{Name: fmt.Sprintf("model-%d", i)}
		for j := range versions {
			m.Versions = append(m.Versions, manifest.Version{Name: fmt.Sprintf("v%d", j), State: manifest.RollingOut})
		}
		m.Versions[0].State, m.Versions[0].Share = manifest.Serving, 100
		doc.Models = append(doc.Models, m)
	}
	for i := range accounts {
		a := manifest.Account{Name: fmt.Sprintf("account-%d", i), KeySHA256: []string{accountDigest(i)}, Classes: []string{"c"}, Weight: 1}
		for j := range min(models, 8) {
			p := manifest.Permission{Model: doc.Models[(i+j)%models].Name}
			if random.IntN(3) == 0 {
				p.Versions = []string{"v0"}
			}
			a.Models = append(a.Models, p)
		}
		doc.Accounts = append(doc.Accounts, a)
	}
	return doc
}
