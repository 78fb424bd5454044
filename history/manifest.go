package history

import "github.com/quetzalweir/quetzalweir/manifest"

// NewManifestAccepted returns the event for the acceptance of a manifest document, with
// lists of the versions that the document permits and withdraws.
func NewManifestAccepted(epoch uint64, digest string, document manifest.Document) Event {
	return Event{
		Kind:      ManifestAccepted,
		Epoch:     epoch,
		Digest:    digest,
		Permits:   permitsOf(document),
		Withdrawn: withdrawnVersions(document),
	}
}

// permitsOf returns the versions that each account may use. A permission without
// versions covers all versions of its model.
func permitsOf(document manifest.Document) []Permit {
	versions := make(map[string][]string)
	for _, m := range document.Models {
		for _, v := range m.Versions {
			versions[m.Name] = append(versions[m.Name], v.Name)
		}
	}
	var list []Permit
	for _, a := range document.Accounts {
		for _, p := range a.Models {
			names := p.Versions
			if len(names) == 0 {
				names = versions[p.Model]
			}
			for _, name := range names {
				list = append(list, Permit{Account: a.Name, Version: Version{Model: p.Model, Version: name}})
			}
		}
	}
	return list
}

// withdrawnVersions returns the versions that the document withdraws.
func withdrawnVersions(document manifest.Document) []Version {
	var list []Version
	for _, m := range document.Models {
		for _, v := range m.Versions {
			if v.State == manifest.Withdrawn {
				list = append(list, Version{Model: m.Name, Version: v.Name})
			}
		}
	}
	return list
}
