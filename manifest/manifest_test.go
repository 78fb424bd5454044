package manifest_test

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/manifest"
)

const (
	examplePath = "../docs/example-manifest.json"
	schemaPath  = "../docs/manifest.schema.json"
)

func readExample(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile(examplePath)
	is.New(t).NoErr(err)
	return data
}

func parseExample(t testing.TB) *manifest.Document {
	t.Helper()
	doc, err := manifest.Parse(readExample(t))
	is.New(t).NoErr(err)
	return doc
}

func TestExampleReadsBackEqual(t *testing.T) {
	is := is.New(t)
	doc := parseExample(t)
	decoded, err := manifest.Parse(manifest.Encode(doc))
	is.NoErr(err)
	is.Equal(doc, decoded)
	is.Equal(manifest.Digest(readExample(t)), manifest.DigestCanonical(manifest.Encode(doc)))
}

func TestPolicyOfExample(t *testing.T) {
	is := is.New(t)
	p := manifest.Compile(parseExample(t), 3, "sha256:x")
	a, ok := p.AccountByKey("key")
	is.True(ok)
	is.Equal(a.Name, "north-desk")
	_, ok = p.AccountByKey("Key")
	is.True(!ok)

	is.Equal(versionNames(p.PermittedVersions("north-desk", "chat-small")), []string{"v7", "v8", "v6"})
	is.Equal(versionNames(p.PermittedVersions("north-desk", "chat-large")), []string{"v3"})
	is.Equal(versionNames(p.PermittedVersions("archive", "chat-small")), []string{"v7"})
	is.Equal(versionNames(p.PermittedVersions("archive", "chat-large")), nil) // not permitted
	is.Equal(versionNames(p.PermittedVersions("nobody", "chat-small")), nil)

	class, priority, ok := p.Class("question")
	is.True(ok)
	is.Equal(priority, 1)
	is.Equal(class.DeadlineMs, 10000)
	v, ok := p.Version("chat-large", "v2")
	is.True(ok)
	is.Equal(v.State, manifest.Withdrawn)
}

func versionNames(versions []manifest.Version) []string {
	var names []string
	for _, v := range versions {
		names = append(names, v.Name)
	}
	return names
}

func TestRoute(t *testing.T) {
	p := manifest.Compile(parseExample(t), 1, "")
	for _, tc := range []struct {
		desc, service, method, path string
		found, idempotent           bool
	}{
		{"prefix", "orders", "GET", "/v1/orders/17", true, true},
		{"exact", "orders", "POST", "/v1/orders", true, false},
		{"exact is no prefix", "orders", "POST", "/v1/orders/17", false, false},
		{"other method", "orders", "PUT", "/v1/orders", false, false},
		{"other service", "desk", "GET", "/v1/orders/17", false, false},
		{"dot segment", "orders", "GET", "/v1/orders/../admin", false, false},
		{"dot segment at the end", "orders", "GET", "/v1/orders/..", false, false},
		{"empty segment", "orders", "GET", "/v1/orders//x", false, false},
		{"dot inside a segment", "orders", "GET", "/v1/orders/.hidden", true, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			is := is.New(t)
			r, ok := p.Route(tc.service, tc.method, tc.path)
			is.Equal(ok, tc.found)
			is.Equal(r.Idempotent, tc.idempotent)
		})
	}
}

// update rewrites the schema file: go test ./manifest -run Schema -update
var update = flag.Bool("update", false, "rewrite the generated schema file")

func TestSchemaFileIsCurrent(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(schemaPath, manifest.Schema(), 0o644))
	}
	committed, err := os.ReadFile(schemaPath)
	is.NoErr(err)
	is.Equal(string(committed), string(manifest.Schema()))
}
