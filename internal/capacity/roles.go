package capacity

// Roles are the parts of an entry host, those of the control first.
func Roles() []Role {
	return []Role{
		callerRole(),
		loadRole(),
		hostListRole(),
		prefixRole(),
		peerRole(),
		membershipRole(),
		manifestRole(),
		exposureRole(),
		quotaRole(),
		tableRole(),
		upkeepRole(),
		claimRole(),
		ledgerRole(),
		sessionRole(),
		admissionRole(),
		logRole(),
	}
}
