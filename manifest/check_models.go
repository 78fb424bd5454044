package manifest

import (
	"net/http"
	"strconv"
	"strings"
)

func (c *checker) checkModels() {
	list := c.root.child("models")
	c.count(list, len(c.doc.Models), 0, MaxModels)
	if len(c.doc.Models) == 0 && len(c.doc.Services) == 0 && !c.report.broken(list) {
		c.report.add(list, "", "", "neither a model nor a service")
	}
	for i := range c.doc.Models {
		c.checkModel(list.at(i), &c.doc.Models[i])
	}
	uniqueNames(c, list, "name", "model", c.doc.Models, func(x *Model) string { return x.Name })
}

func (c *checker) checkModel(at *location, m *Model) {
	c.name(at.child("name"), m.Name)
	list := at.child("versions")
	c.count(list, len(m.Versions), 1, MaxVersions)
	for i := range m.Versions {
		c.checkVersion(list.at(i), &m.Versions[i])
	}
	c.checkShares(list, m.Versions)
	uniqueNames(c, list, "name", "version", m.Versions, func(x *Version) string { return x.Name })
}

func (c *checker) checkVersion(at *location, v *Version) {
	c.name(at.child("name"), v.Name)
	known := oneOf(c, at.child("state"), v.State, Serving, RollingIn, RollingOut, Withdrawn)
	share := at.child("share")
	c.whole(share, int64(v.Share), 0, percent)
	if known && !v.takesShare() && v.Share != 0 && !c.report.broken(share) {
		c.report.add(share, strconv.Itoa(v.Share), "0", "a version that is %s takes no share", v.State)
	}
	if v.Exposure != nil {
		c.checkExposure(at.child("exposure"), v)
	}
	c.whole(at.child("prompt_price"), v.PromptPrice, 0, maxPrice)
	c.whole(at.child("completion_price"), v.CompletionPrice, 0, maxPrice)
}

func (v *Version) takesShare() bool {
	return v.State == Serving || v.State == RollingIn
}

func (c *checker) checkExposure(at *location, v *Version) {
	if v.State != RollingIn && !c.report.broken(at) {
		c.report.add(at, "", "", "only a version that is %s has an exposure budget", RollingIn)
	}
	e := v.Exposure
	c.whole(at.child("round"), int64(e.Round), 1, maxRound)
	c.whole(at.child("answers"), int64(e.Answers), 1, maxAnswers)
	c.number(at.child("max_error_rate"), e.MaxErrorRate, 0, 1)
	c.number(at.child("min_rating"), e.MinRating, 0, 1)
	c.whole(at.child("max_latency_ms"), int64(e.MaxLatencyMs), 0, maxLatencyMs)
}

func (c *checker) checkShares(list *location, versions []Version) {
	sum := 0
	takers := 0
	for i := range versions {
		at := list.at(i)
		if c.report.broken(at.child("share")) || c.report.broken(at.child("state")) {
			return
		}
		if versions[i].takesShare() {
			takers++
			sum += versions[i].Share
		}
	}
	if takers > 0 && sum != percent {
		c.report.add(list, strconv.Itoa(sum), strconv.Itoa(percent), "the shares have a wrong sum")
	}
}

func (c *checker) checkCascades() {
	list := c.root.child("cascades")
	c.count(list, len(c.doc.Cascades), 0, MaxCascades)
	for i := range c.doc.Cascades {
		c.checkCascade(list.at(i), &c.doc.Cascades[i])
	}
	uniqueNames(c, list, "name", "cascade", c.doc.Cascades, func(x *Cascade) string { return x.Name })
}

func (c *checker) checkCascade(at *location, cascade *Cascade) {
	c.name(at.child("name"), cascade.Name)
	if c.models[cascade.Name] != nil && cascade.Name != "" {
		c.report.add(at.child("name"), quote(cascade.Name), "", "the name of a model")
	}
	steps := at.child("steps")
	c.count(steps, len(cascade.Steps), 2, MaxSteps)
	c.references(steps, cascade.Steps, "model", c.knownModel)
	c.number(at.child("target"), cascade.Target, 0, 1)
	c.whole(at.child("rater_timeout_ms"), int64(cascade.RaterTimeoutMs), 1, maxRaterTimeoutMs)
	oneOf(c, at.child("on_rater_failure"), cascade.OnRaterFailure, Accept, Escalate)
}

func (c *checker) knownModel(name string) bool { return c.models[name] != nil }

func (c *checker) checkServices() {
	list := c.root.child("services")
	c.count(list, len(c.doc.Services), 0, MaxServices)
	for i := range c.doc.Services {
		c.checkService(list.at(i), &c.doc.Services[i])
	}
	uniqueNames(c, list, "name", "service", c.doc.Services, func(x *Service) string { return x.Name })
}

func (c *checker) checkService(at *location, s *Service) {
	c.name(at.child("name"), s.Name)
	list := at.child("routes")
	c.count(list, len(s.Routes), 1, MaxRoutes)
	for i := range s.Routes {
		c.checkRoute(list.at(i), s.Routes[i])
		c.checkReachable(list, s.Routes, i)
	}
}

func (c *checker) checkRoute(at *location, r Route) {
	oneOf(c, at.child("method"), r.Method, http.MethodGet, http.MethodHead, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions)
	path := at.child("path")
	if !validRoutePath(r.Path) && !c.report.broken(path) {
		c.report.add(path, quote(r.Path), "an absolute path without query and dot segments", "bad path")
	}
}

func validRoutePath(path string) bool {
	if len(path) > MaxPath || !strings.HasPrefix(path, "/") {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] > '~' || strings.IndexByte("?#%\\", path[i]) >= 0 {
			return false
		}
	}
	return cleanPath(path)
}

// cleanPath says whether path has no empty and no dot segments, with which a
// call could match one route and mean another.
func cleanPath(path string) bool {
	if strings.Contains(path, "//") {
		return false
	}
	if !strings.Contains(path, "/.") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// checkReachable refuses a route that an earlier one hides: its setting of
// idempotent would be read by nobody.
func (c *checker) checkReachable(list *location, routes []Route, i int) {
	if c.report.broken(list.at(i)) {
		return
	}
	for j := range i {
		if !routes[j].covers(routes[i]) {
			continue
		}
		c.report.add(list.at(i), quote(routes[i].Path), "", "unreachable: %s matches first", list.at(j))
		return
	}
}

// covers says that every call that matches other matches r as well.
func (r Route) covers(other Route) bool {
	return r.matches(other.Method, other.Path)
}

func (r Route) matches(method, path string) bool {
	if r.Method != method {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(path, r.Path)
	}
	return r.Path == path
}
