package gateway

import (
	"slices"

	"github.com/quetzalweir/quetzalweir/routing"
)

// geography tells zones' regions.
type geography struct {
	// zone is this host's availability zone, regions are all zones' by name.
	zone    string
	regions map[string]string
}

// region is the zone's region. Where none is told of any zone, all are in one without a name;
// where none is told of this one, it is in one of its own.
func (g *geography) region(zone string) string {
	if len(g.regions) == 0 {
		return ""
	}
	if region, ok := g.regions[zone]; ok {
		return region
	}
	return zone
}

// near says whether the zone is in this host's region.
func (g *geography) near(zone string) bool { return g.region(zone) == g.region(g.zone) }

// homes are the regions in which a request may be served: those of its route and those of its
// account, where they have any. The zero value allows all.
type homes struct {
	geography *geography
	bounds    [][]string
}

// bind adds regions to which a request is bound; none bind nothing.
func (h *homes) bind(regions []string) {
	if len(regions) > 0 {
		h.bounds = append(h.bounds, regions)
	}
}

// allow says whether the request may be sent to an upstream of the zone.
func (h *homes) allow(zone string) bool {
	for _, regions := range h.bounds {
		if !slices.Contains(regions, h.geography.region(zone)) {
			return false
		}
	}
	return true
}

// bound says that the request may not be served everywhere.
func (h *homes) bound() bool { return len(h.bounds) > 0 }

// homes are those of the document that the request came under, and of the one in force now:
// an attempt may begin long after the request, when its homes have changed.
func (g *Gateway) homes(r *Request) homes {
	h := homes{geography: &g.fleet.geography}
	bindAll(&h, r.Route, r.Account)
	if now := g.table.Load(); now != nil && now != r.Table {
		route, _ := now.Match(r.Host, r.path())
		bindAll(&h, route, now.Account(r.Header.Get(g.settings.Headers.AccountKey)))
	}
	return h
}

// bindAll binds what is there.
func bindAll(h *homes, route *routing.Route, account *routing.Account) {
	if route != nil {
		h.bind(route.Regions)
	}
	if account != nil {
		h.bind(account.Regions)
	}
}
