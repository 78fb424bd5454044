package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// Contents that differ in any field have different digests, also if the bytes of their fields
// in sequence are the same.
func TestDigestDistinguishesContents(t *testing.T) {
	is := is.New(t)
	base := Content{Host: "h", Method: "POST", Target: "/a", Account: "acme", Body: []byte("body")}
	contents := []Content{
		base,
		{Host: "h2", Method: "POST", Target: "/a", Account: "acme", Body: []byte("body")},
		{Host: "h", Method: "PUT", Target: "/a", Account: "acme", Body: []byte("body")},
		{Host: "h", Method: "POST", Target: "/b", Account: "acme", Body: []byte("body")},
		{Host: "h", Method: "POST", Target: "/a", Account: "other", Body: []byte("body")},
		{Host: "h", Method: "POST", Target: "/a", Account: "acme", Body: []byte("bodz")},
		{Host: "h", Method: "POST", Target: "/aacme", Account: "", Body: []byte("body")},
		{Host: "h", Method: "POST", Target: "/a", Account: "acmeb", Body: []byte("ody")},
	}
	seen := make(map[Digest]bool)
	for _, c := range contents {
		seen[c.Digest()] = true
	}
	is.Equal(len(seen), len(contents))
	again := base
	is.Equal(again.Digest(), base.Digest())
}

func TestDigestText(t *testing.T) {
	is := is.New(t)
	c := Content{Target: "/a"}
	d := c.Digest()
	parsed, err := ParseDigest(d.String())
	is.NoErr(err)
	is.Equal(parsed, d)
	for _, text := range []string{"", "00", d.String() + "00", "zz" + d.String()[2:]} {
		_, err := ParseDigest(text)
		is.True(err != nil)
	}
}
