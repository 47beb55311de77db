package fleetdemo

import "fmt"

// judgeUses holds the use of what another tenant's request made to the configurations that may have been in force when the request came to
// its engine. It binds fronts that were in touch.
func (r *record) judgeUses() (findings []finding) {
	fronts := map[string]int{}
	for i := range r.Asks {
		fronts[r.Asks[i].ID] = r.Asks[i].Front
	}
	for _, use := range r.Uses {
		front, known := fronts[use.User.Request]
		if !known || !r.alwaysIsolated(use) || !r.inTouch(front, use.At) {
			continue
		}
		findings = append(findings, finding{ruleWall, use.At, use.User.Request, fmt.Sprintf("tenant %s used part %s, which %s of tenant %s made",
			use.User.Tenant, use.Part, use.Maker.Request, use.Maker.Tenant)})
	}
	return findings
}

// alwaysIsolated tells whether every configuration that may have been in force at a use isolates one of the two tenants. These are the
// newest one that was acknowledged long enough before, and all later ones that were sent before.
func (r *record) alwaysIsolated(use promptUse) bool {
	if use.User.Tenant != isolatedTenant && use.Maker.Tenant != isolatedTenant {
		return false
	}
	first := 0
	for i, c := range r.Configs {
		if !c.Acked.IsZero() && use.At.After(c.Acked.Add(r.Limits.Apply+r.Limits.Slack)) {
			first = i
		}
	}
	for _, c := range r.Configs[first:] {
		if c.Sent.Before(use.At) && !soakIsolates(c.Number) {
			return false
		}
	}
	return len(r.Configs) > 0
}
