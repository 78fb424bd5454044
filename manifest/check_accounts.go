package manifest

import "strconv"

func (c *checker) checkClasses() {
	list := c.root.child("classes")
	c.checkCount(list, len(c.doc.Classes), 1, MaxClasses)
	sum := 0
	for i, class := range c.doc.Classes {
		loc := list.element(i)
		c.checkName(loc.child("name"), class.Name)
		c.checkInteger(loc.child("deadline_ms"), int64(class.DeadlineMs), 1, maxDeadlineMs)
		c.checkInteger(loc.child("min_share"), int64(class.MinShare), 0, percent)
		sum += class.MinShare
	}
	checkUniqueNames(c, list, "name", "class", c.doc.Classes, func(x *Class) string { return x.Name })
	if sum > percent && !c.report.hasProblem(list) {
		c.report.add(list, strconv.Itoa(sum), "at most 100", "the minimum shares have a wrong sum")
	}
}

func (c *checker) checkAccounts() {
	list := c.root.child("accounts")
	c.checkCount(list, len(c.doc.Accounts), 0, MaxAccounts)
	for i := range c.doc.Accounts {
		c.checkAccount(list.element(i), &c.doc.Accounts[i])
	}
	checkUniqueNames(c, list, "name", "account", c.doc.Accounts, func(x *Account) string { return x.Name })
	c.checkKeys(list)
}

func (c *checker) checkAccount(loc *location, a *Account) {
	c.checkName(loc.child("name"), a.Name)
	c.checkPermissions(loc.child("models"), a.Models)
	c.checkReferences(loc.child("cascades"), a.Cascades, "cascade", func(name string) bool { return c.cascades[name] != nil })
	c.checkStepPermissions(loc.child("cascades"), a)
	c.checkReferences(loc.child("services"), a.Services, "service", func(name string) bool { return c.services[name] })
	c.checkCount(loc.child("classes"), len(a.Classes), 1, MaxClasses)
	c.checkReferences(loc.child("classes"), a.Classes, "class", func(name string) bool { return c.classes[name] })
	c.checkNumber(loc.child("requests_per_second"), a.RequestsPerSecond, 0, maxRate)
	c.checkBurst(loc.child("burst"), a)
	c.checkInteger(loc.child("weight"), int64(a.Weight), 1, maxWeight)
}

// checkBurst rejects a rate limit without a burst, which would admit no request.
func (c *checker) checkBurst(loc *location, a *Account) {
	low := int64(0)
	if a.RequestsPerSecond > 0 {
		low = 1
	}
	c.checkInteger(loc, int64(a.Burst), low, maxBurst)
}

func (c *checker) checkPermissions(list *location, permissions []Permission) {
	for i, p := range permissions {
		loc := list.element(i)
		model := c.models[p.Model]
		if model == nil && !c.report.hasProblem(loc.child("model")) {
			c.report.add(loc.child("model"), quote(p.Model), "", "unknown model")
		}
		if model == nil {
			continue
		}
		c.checkReferences(loc.child("versions"), p.Versions, "version", func(name string) bool {
			return findVersion(model, name) >= 0
		})
	}
	checkUniqueNames(c, list, "model", "permission", permissions, func(x *Permission) string { return x.Model })
}

func findVersion(m *Model, name string) int {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return i
		}
	}
	return -1
}

// checkStepPermissions checks that the account may use the model of each step of
// its cascades.
func (c *checker) checkStepPermissions(list *location, a *Account) {
	if len(a.Cascades) == 0 {
		return
	}
	permitted := make(map[string]bool, len(a.Models))
	for _, p := range a.Models {
		permitted[p.Model] = true
	}
	for i, name := range a.Cascades {
		cascade := c.cascades[name]
		if cascade == nil {
			continue
		}
		for _, step := range cascade.Steps {
			if c.hasModel(step) && !permitted[step] {
				c.report.add(list.element(i), quote(name), "", "the account has no permission for the step's model %s", step)
			}
		}
	}
}

// keyPosition is the position of a key's digest in the document: the index of
// the account and that of the digest in the account's list.
type keyPosition struct{ account, key int }

// checkKeys rejects digests that occur twice and text that isn't a digest. Its
// problems never contain the value, which may be a key that was entered by
// mistake.
func (c *checker) checkKeys(list *location) {
	var positions []keyPosition
	for i := range c.doc.Accounts {
		keys := c.doc.Accounts[i].KeySHA256
		loc := list.element(i).child("key_sha256")
		c.checkCount(loc, len(keys), 1, MaxAccountKeys)
		for j, key := range keys {
			positions = append(positions, keyPosition{account: i, key: j})
			if !validHex(key) && !c.report.hasProblem(loc.element(j)) {
				c.report.add(loc.element(j), "", "64 lower-case hex digits", "bad digest of a key")
			}
		}
	}
	c.checkUnique(len(positions), "key",
		func(n int) *location {
			return list.element(positions[n].account).child("key_sha256").element(positions[n].key)
		},
		func(n int) string { return c.doc.Accounts[positions[n].account].KeySHA256[positions[n].key] })
}

func (c *checker) checkSessions() {
	loc := c.root.child("sessions")
	c.checkInteger(loc.child("ttl_seconds"), int64(c.doc.Sessions.TTLSeconds), 1, maxTTLSeconds)
	checkEnum(c, loc.child("on_withdrawn"), c.doc.Sessions.OnWithdrawn, Rebind, Refuse)
}
