package routing_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
)

func document() routing.Document {
	shares := []routing.Share{{Service: "a", Weight: 1}}
	return routing.Document{
		Version: 3,
		Routes: []routing.Route{
			{Name: "short", Host: "one.example", Prefix: "/a/", Shares: shares},
			{Name: "long", Host: "one.example", Prefix: "/a/b/", Shares: shares},
			{Name: "other", Host: "Two.example", Prefix: "/", Shares: shares},
		},
		Services: []routing.Service{{Name: "a"}, {Name: "b"}},
		Accounts: []routing.Account{{Name: "acme", Keys: []string{"k1", "k2"}}},
	}
}

func TestMatch(t *testing.T) {
	table, err := routing.New(document())
	is.New(t).NoErr(err)
	tests := []struct {
		desc, host, path, want string
	}{
		{"only matching prefix", "one.example", "/a/x", "short"},
		{"longest prefix wins", "one.example", "/a/b/x", "long"},
		{"a prefix ends at its slash", "one.example", "/a/bc", "short"},
		{"the prefix alone", "one.example", "/a/", "short"},
		{"path above all prefixes", "one.example", "/a", ""},
		{"unknown host", "three.example", "/a/", ""},
		{"host with a port, other case", "TWO.example:8080", "/x", "other"},
		{"encoded slash isn't a slash", "one.example", "/a%2fb/x", ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r, ok := table.Match(test.host, test.path)
			is := is.New(t)
			is.Equal(ok, test.want != "")
			if ok {
				is.Equal(r.Name, test.want)
			}
		})
	}
}

func TestSelectServiceFollowsShares(t *testing.T) {
	is := is.New(t)
	r := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.SelectService(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"a": 900, "b": 100})
}

func TestAccounts(t *testing.T) {
	is := is.New(t)
	table, err := routing.New(document())
	is.NoErr(err)
	is.Equal(table.Account("k2").Name, "acme")
	is.Equal(table.Account("k3"), nil)
	is.Equal(table.Account(""), nil)
}

func TestRouteToUnknownServiceIsInvalid(t *testing.T) {
	doc := document()
	doc.Routes[0].Shares = []routing.Share{{Service: "gone", Weight: 1}}
	_, err := routing.New(doc)
	is.New(t).True(errors.Is(err, routing.ErrInvalid))
}
