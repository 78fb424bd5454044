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

// region returns the zone's region. If the mapping is empty, all zones are in one unnamed region. A
// zone that is missing from a non-empty mapping is in a region of its own, named like the zone.
func (t *zoneTopology) region(zone string) string {
	if len(t.regions) == 0 {
		return ""
	}
	if region, ok := t.regions[zone]; ok {
		return region
	}
	return zone
}

// sameRegion reports whether the zone is in this host's region.
func (t *zoneTopology) sameRegion(zone string) bool { return t.region(zone) == t.region(t.zone) }

// regionConstraint restricts the regions in which a request may run. allowedSets are the sets of
// regions that its route and its account declare; the request may run only in regions that are in
// each set. The zero value allows all regions.
type regionConstraint struct {
	topology    *zoneTopology
	allowedSets [][]string
}

// restrict adds a set of allowed regions; an empty set adds no restriction.
func (c *regionConstraint) restrict(regions []string) {
	if len(regions) > 0 {
		c.allowedSets = append(c.allowedSets, regions)
	}
}

// allows reports whether the request may be sent to an upstream of the zone.
func (c *regionConstraint) allows(zone string) bool {
	for _, regions := range c.allowedSets {
		if !slices.Contains(regions, c.topology.region(zone)) {
			return false
		}
	}
	return true
}

// restricted reports whether any region is excluded.
func (c *regionConstraint) restricted() bool { return len(c.allowedSets) > 0 }

// allowedRegions returns the regions in which the next attempt of the request may run. They are
// restricted by the document that was in force when the request arrived and by the one that is in
// force now, since the document may change between the request's arrival and an attempt.
func (g *Gateway) allowedRegions(r *Request) regionConstraint {
	c := regionConstraint{topology: &g.fleet.topology}
	restrictToRouteAndAccount(&c, r.Route, r.Account)
	if now := g.routingTable.Load(); now != nil && now != r.Table {
		route, _ := now.Match(r.Host, r.path())
		restrictToRouteAndAccount(&c, route, now.Account(r.Header.Get(g.settings.Headers.AccountKey)))
	}
	return c
}

// restrictToRouteAndAccount adds the regions of the route and the account, each of which may be
// nil.
func restrictToRouteAndAccount(c *regionConstraint, route *routing.Route, account *routing.Account) {
	if route != nil {
		c.restrict(route.Regions)
	}
	if account != nil {
		c.restrict(account.Regions)
	}
}
