package entry

import (
	"time"

	"github.com/quetzalweir/quetzalweir/admission"
	"github.com/quetzalweir/quetzalweir/manifest"
	"github.com/quetzalweir/quetzalweir/quota"
	"github.com/quetzalweir/quetzalweir/rollout"
)

// defaultSessionTTL is the lifetime of session tokens until the first manifest comes
// into force.
const defaultSessionTTL = time.Hour

// shareSum is the sum of the shares in a manifest.
const shareSum = 100

// applyPolicy applies a manifest that came into force to the components that keep
// state derived from it. The filters read the manifest directly.
func (h *Host) applyPolicy(policy *manifest.Policy) {
	doc := policy.Document
	h.queues.setClasses(classOptions(doc.Classes))
	h.quota.SetLimits(policy.Epoch, accountLimits(doc.Accounts))
	h.rollout.SetVersions(versionRules(policy))
	sessionTTL := time.Duration(doc.Sessions.TTLSeconds) * time.Second
	h.sessionCodec.SetTTL(sessionTTL)
	h.sessions.SetTTL(sessionTTL)
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			if v.State == manifest.Withdrawn {
				h.sessions.Evict(m.Name, v.Name)
			}
		}
	}
	h.log.Info().Str("event", "manifest-in-force").Uint64("epoch", policy.Epoch).
		Str("digest", policy.Digest).Str("build", doc.Build).Msg("")
}

func classOptions(classes []manifest.Class) []admission.ClassOptions {
	list := make([]admission.ClassOptions, len(classes))
	for i, c := range classes {
		list[i] = admission.ClassOptions{Name: c.Name, MinShare: float64(c.MinShare) / shareSum}
	}
	return list
}

func accountLimits(accounts []manifest.Account) []quota.Limit {
	var list []quota.Limit
	for _, a := range accounts {
		if a.RequestsPerSecond > 0 {
			list = append(list, quota.Limit{Account: a.Name, Rate: a.RequestsPerSecond, Burst: float64(a.Burst)})
		}
	}
	return list
}

// versionRules returns the exposure rules of the versions that roll in.
func versionRules(policy *manifest.Policy) []rollout.VersionRule {
	var list []rollout.VersionRule
	for _, m := range policy.Document.Models {
		for _, v := range m.Versions {
			if v.State == manifest.RollingIn && v.Exposure != nil {
				list = append(list, versionRule(m.Name, v))
			}
		}
	}
	return list
}

func versionRule(model string, v manifest.Version) rollout.VersionRule {
	return rollout.VersionRule{
		Model:        model,
		Version:      v.Name,
		Round:        uint64(v.Exposure.Round),
		Budget:       v.Exposure.Answers,
		MaxErrorRate: v.Exposure.MaxErrorRate,
		MinRating:    v.Exposure.MinRating,
		MaxLatencyMs: v.Exposure.MaxLatencyMs,
	}
}
