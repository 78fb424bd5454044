package manifest

import (
	"net/http"
	"strconv"
	"strings"
)

func (c *checker) checkModels() {
	list := c.root.child("models")
	c.checkCount(list, len(c.doc.Models), 0, MaxModels)
	if len(c.doc.Models) == 0 && len(c.doc.Services) == 0 && !c.report.hasProblem(list) {
		c.report.add(list, "", "", "neither a model nor a service")
	}
	for i := range c.doc.Models {
		c.checkModel(list.element(i), &c.doc.Models[i])
	}
	checkUniqueNames(c, list, "name", "model", c.doc.Models, func(x *Model) string { return x.Name })
}

func (c *checker) checkModel(loc *location, m *Model) {
	c.checkName(loc.child("name"), m.Name)
	list := loc.child("versions")
	c.checkCount(list, len(m.Versions), 1, MaxVersions)
	for i := range m.Versions {
		c.checkVersion(list.element(i), &m.Versions[i])
	}
	c.checkShares(list, m.Versions)
	checkUniqueNames(c, list, "name", "version", m.Versions, func(x *Version) string { return x.Name })
}

func (c *checker) checkVersion(loc *location, v *Version) {
	c.checkName(loc.child("name"), v.Name)
	known := checkEnum(c, loc.child("state"), v.State, Serving, RollingIn, RollingOut, Withdrawn)
	share := loc.child("share")
	c.checkInteger(share, int64(v.Share), 0, percent)
	if known && !v.takesShare() && v.Share != 0 && !c.report.hasProblem(share) {
		c.report.add(share, strconv.Itoa(v.Share), "0", "a version that is %s takes no share", v.State)
	}
	if v.Exposure != nil {
		c.checkExposure(loc.child("exposure"), v)
	}
	c.checkInteger(loc.child("prompt_price"), v.PromptPrice, 0, maxPrice)
	c.checkInteger(loc.child("completion_price"), v.CompletionPrice, 0, maxPrice)
}

func (v *Version) takesShare() bool {
	return v.State == Serving || v.State == RollingIn
}

func (c *checker) checkExposure(loc *location, v *Version) {
	if v.State != RollingIn && !c.report.hasProblem(loc) {
		c.report.add(loc, "", "", "only a version that is %s has an exposure budget", RollingIn)
	}
	e := v.Exposure
	c.checkInteger(loc.child("round"), int64(e.Round), 1, maxRound)
	c.checkInteger(loc.child("answers"), int64(e.Answers), 1, maxAnswers)
	c.checkNumber(loc.child("max_error_rate"), e.MaxErrorRate, 0, 1)
	c.checkNumber(loc.child("min_rating"), e.MinRating, 0, 1)
	c.checkInteger(loc.child("max_latency_ms"), int64(e.MaxLatencyMs), 0, maxLatencyMs)
}

func (c *checker) checkShares(list *location, versions []Version) {
	sum := 0
	sharing := 0
	for i := range versions {
		loc := list.element(i)
		if c.report.hasProblem(loc.child("share")) || c.report.hasProblem(loc.child("state")) {
			return
		}
		if versions[i].takesShare() {
			sharing++
			sum += versions[i].Share
		}
	}
	if sharing > 0 && sum != percent {
		c.report.add(list, strconv.Itoa(sum), strconv.Itoa(percent), "the shares have a wrong sum")
	}
}

func (c *checker) checkCascades() {
	list := c.root.child("cascades")
	c.checkCount(list, len(c.doc.Cascades), 0, MaxCascades)
	for i := range c.doc.Cascades {
		c.checkCascade(list.element(i), &c.doc.Cascades[i])
	}
	checkUniqueNames(c, list, "name", "cascade", c.doc.Cascades, func(x *Cascade) string { return x.Name })
}

func (c *checker) checkCascade(loc *location, cascade *Cascade) {
	c.checkName(loc.child("name"), cascade.Name)
	if c.models[cascade.Name] != nil && cascade.Name != "" {
		c.report.add(loc.child("name"), quote(cascade.Name), "", "the name of a model")
	}
	steps := loc.child("steps")
	c.checkCount(steps, len(cascade.Steps), 2, MaxCascadeSteps)
	c.checkReferences(steps, cascade.Steps, "model", c.hasModel)
	c.checkNumber(loc.child("target"), cascade.Target, 0, 1)
	c.checkInteger(loc.child("rater_timeout_ms"), int64(cascade.RaterTimeoutMs), 1, maxRaterTimeoutMs)
	checkEnum(c, loc.child("on_rater_failure"), cascade.OnRaterFailure, Accept, Escalate)
}

func (c *checker) hasModel(name string) bool { return c.models[name] != nil }

func (c *checker) checkServices() {
	list := c.root.child("services")
	c.checkCount(list, len(c.doc.Services), 0, MaxServices)
	for i := range c.doc.Services {
		c.checkService(list.element(i), &c.doc.Services[i])
	}
	checkUniqueNames(c, list, "name", "service", c.doc.Services, func(x *Service) string { return x.Name })
}

func (c *checker) checkService(loc *location, s *Service) {
	c.checkName(loc.child("name"), s.Name)
	list := loc.child("routes")
	c.checkCount(list, len(s.Routes), 1, MaxRoutes)
	for i := range s.Routes {
		c.checkRoute(list.element(i), s.Routes[i])
		c.checkReachable(list, s.Routes, i)
	}
}

func (c *checker) checkRoute(loc *location, r Route) {
	checkEnum(c, loc.child("method"), r.Method, http.MethodGet, http.MethodHead, http.MethodPost,
		http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions)
	path := loc.child("path")
	if !validRoutePath(r.Path) && !c.report.hasProblem(path) {
		c.report.add(path, quote(r.Path), "an absolute path without query and dot segments", "bad path")
	}
}

func validRoutePath(path string) bool {
	if len(path) > MaxPathBytes || !strings.HasPrefix(path, "/") {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] > '~' || strings.IndexByte("?#%\\", path[i]) >= 0 {
			return false
		}
	}
	return hasCleanSegments(path)
}

// hasCleanSegments reports whether path has no empty and no dot segments. With
// those, a call could match one route and be resolved by the upstream to the path
// of another.
func hasCleanSegments(path string) bool {
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

// checkReachable rejects a route if an earlier one matches all of its calls: its
// idempotent setting would have no effect.
func (c *checker) checkReachable(list *location, routes []Route, i int) {
	if c.report.hasProblem(list.element(i)) {
		return
	}
	for j := range i {
		if !routes[j].covers(routes[i]) {
			continue
		}
		c.report.add(list.element(i), quote(routes[i].Path), "", "unreachable: %s matches first", list.element(j))
		return
	}
}

// covers reports whether every call that matches other matches r as well.
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
