package manifest

import "strconv"

func (c *checker) checkClasses() {
	list := c.root.child("classes")
	c.count(list, len(c.doc.Classes), 1, MaxClasses)
	sum := 0
	for i, class := range c.doc.Classes {
		at := list.at(i)
		c.name(at.child("name"), class.Name)
		c.whole(at.child("deadline_ms"), int64(class.DeadlineMs), 1, maxDeadlineMs)
		c.whole(at.child("min_share"), int64(class.MinShare), 0, percent)
		sum += class.MinShare
	}
	uniqueNames(c, list, "name", "class", c.doc.Classes, func(x *Class) string { return x.Name })
	if sum > percent && !c.report.broken(list) {
		c.report.add(list, strconv.Itoa(sum), "at most 100", "the minimum shares have a wrong sum")
	}
}

func (c *checker) checkAccounts() {
	list := c.root.child("accounts")
	c.count(list, len(c.doc.Accounts), 0, MaxAccounts)
	for i := range c.doc.Accounts {
		c.checkAccount(list.at(i), &c.doc.Accounts[i])
	}
	uniqueNames(c, list, "name", "account", c.doc.Accounts, func(x *Account) string { return x.Name })
	c.checkKeys(list)
}

func (c *checker) checkAccount(at *location, a *Account) {
	c.name(at.child("name"), a.Name)
	c.checkPermissions(at.child("models"), a.Models)
	c.references(at.child("cascades"), a.Cascades, "cascade", func(name string) bool { return c.cascades[name] != nil })
	c.checkSteps(at.child("cascades"), a)
	c.references(at.child("services"), a.Services, "service", func(name string) bool { return c.services[name] })
	c.count(at.child("classes"), len(a.Classes), 1, MaxClasses)
	c.references(at.child("classes"), a.Classes, "class", func(name string) bool { return c.classes[name] })
	c.number(at.child("requests_per_second"), a.RequestsPerSecond, 0, maxRate)
	c.checkBurst(at.child("burst"), a)
	c.whole(at.child("weight"), int64(a.Weight), 1, maxWeight)
}

// checkBurst refuses a rate limit that would let nothing through.
func (c *checker) checkBurst(at *location, a *Account) {
	low := int64(0)
	if a.RequestsPerSecond > 0 {
		low = 1
	}
	c.whole(at, int64(a.Burst), low, maxBurst)
}

func (c *checker) checkPermissions(list *location, permissions []Permission) {
	for i, p := range permissions {
		at := list.at(i)
		model := c.models[p.Model]
		if model == nil && !c.report.broken(at.child("model")) {
			c.report.add(at.child("model"), quote(p.Model), "", "unknown model")
		}
		if model == nil {
			continue
		}
		c.references(at.child("versions"), p.Versions, "version", func(name string) bool {
			return findVersion(model, name) >= 0
		})
	}
	uniqueNames(c, list, "model", "permission", permissions, func(x *Permission) string { return x.Model })
}

func findVersion(m *Model, name string) int {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return i
		}
	}
	return -1
}

// checkSteps requires permission for the model of each step of a cascade.
func (c *checker) checkSteps(list *location, a *Account) {
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
			if c.knownModel(step) && !permitted[step] {
				c.report.add(list.at(i), quote(name), "", "the account has no permission for the step's model %s", step)
			}
		}
	}
}

// keyPlace is where a key's digest stands in the document.
type keyPlace struct{ account, key int }

// checkKeys refuses keys of two accounts and text that isn't a digest. Its
// reports never hold the value: it may be a key put there by mistake.
func (c *checker) checkKeys(list *location) {
	var places []keyPlace
	for i := range c.doc.Accounts {
		keys := c.doc.Accounts[i].KeySHA256
		at := list.at(i).child("key_sha256")
		c.count(at, len(keys), 1, MaxKeys)
		for j, key := range keys {
			places = append(places, keyPlace{account: i, key: j})
			if !validHex(key) && !c.report.broken(at.at(j)) {
				c.report.add(at.at(j), "", "64 lower-case hex digits", "bad digest of a key")
			}
		}
	}
	c.unique(len(places), "key",
		func(n int) *location { return list.at(places[n].account).child("key_sha256").at(places[n].key) },
		func(n int) string { return c.doc.Accounts[places[n].account].KeySHA256[places[n].key] })
}

func (c *checker) checkSessions() {
	at := c.root.child("sessions")
	c.whole(at.child("ttl_seconds"), int64(c.doc.Sessions.TTLSeconds), 1, maxTTLSeconds)
	oneOf(c, at.child("on_withdrawn"), c.doc.Sessions.OnWithdrawn, Rebind, Refuse)
}
