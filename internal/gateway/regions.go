package gateway

import (
	"slices"

	"github.com/quetzalweir/quetzalweir/routing"
)

// zoneTopology maps availability zones to regions.
type zoneTopology struct {
	// zone is this host's availability zone. regions maps each zone to its region.
	zone    string
	regions map[string]string
}

// region returns the zone's region. Without any mapping all zones are in one unnamed region; a
// zone that the mapping lacks is in a region of its own.
func (g *zoneTopology) region(zone string) string {
	if len(g.regions) == 0 {
		return ""
	}
	if region, ok := g.regions[zone]; ok {
		return region
	}
	return zone
}

// sameRegion reports whether the zone is in this host's region.
func (g *zoneTopology) sameRegion(zone string) bool { return g.region(zone) == g.region(g.zone) }

// regionConstraint restricts the regions in which a request may run: those of its route and those
// of its account, if they declare any. The zero value allows all.
type regionConstraint struct {
	topology    *zoneTopology
	allowedSets [][]string
}

// restrict adds a set of permitted regions; an empty set adds no restriction.
func (h *regionConstraint) restrict(regions []string) {
	if len(regions) > 0 {
		h.allowedSets = append(h.allowedSets, regions)
	}
}

// allows reports whether the request may be sent to an upstream of the zone.
func (h *regionConstraint) allows(zone string) bool {
	for _, regions := range h.allowedSets {
		if !slices.Contains(regions, h.topology.region(zone)) {
			return false
		}
	}
	return true
}

// restricted reports whether any region is excluded.
func (h *regionConstraint) restricted() bool { return len(h.allowedSets) > 0 }

// allowedRegions returns the constraint by the document under which the request arrived and by the
// one in force now: an attempt may begin long after the request arrived, when the document has
// changed.
func (g *Gateway) allowedRegions(r *Request) regionConstraint {
	h := regionConstraint{topology: &g.fleet.topology}
	restrictToRouteAndAccount(&h, r.Route, r.Account)
	if now := g.table.Load(); now != nil && now != r.Table {
		route, _ := now.Match(r.Host, r.path())
		restrictToRouteAndAccount(&h, route, now.Account(r.Header.Get(g.settings.Headers.AccountKey)))
	}
	return h
}

// restrictToRouteAndAccount adds the regions of the route and the account, each of which may be
// nil.
func restrictToRouteAndAccount(h *regionConstraint, route *routing.Route, account *routing.Account) {
	if route != nil {
		h.restrict(route.Regions)
	}
	if account != nil {
		h.restrict(account.Regions)
	}
}
