package agent

import (
	"time"

	"nettlefold/internal/feed"
)

// phaseNews is a phase as it was heard last.
type phaseNews struct {
	feed.Phase
	at time.Time
}

// phase tells everyone at once what a backend is at.
func (r *rollout) phase(id string, p feed.Phase) {
	p.FencingToken = r.lease.fence()
	r.agent.enqueue(func() {
		r.agent.phaseCount++
		p.Seq = r.agent.phaseCount
		told := map[string]feed.Phase{id: p}
		r.agent.takePhases(told)
		r.agent.ownPhases[id] = ownPhase{p, time.Now(), time.Now()}
		r.agent.news.tell(&feed.GossipMessage{Phases: told})
	})
}

// takePhases takes what holders of orders told, but for what came after something newer.
func (a *Agent) takePhases(phases map[string]feed.Phase) {
	var changed []string
	for id, p := range phases {
		known, is := a.phases[id]
		if is && p.Before(known.Phase) {
			continue
		}
		if !is || p != known.Phase {
			changed = append(changed, id)
		}
		a.phases[id] = phaseNews{p, time.Now()}
	}
	if len(changed) > 0 {
		a.listChanged(changed...)
	}
}

// expirePhases drops what nobody tells any more.
func (a *Agent) expirePhases() {
	for id, p := range a.phases {
		if time.Since(p.at) > phasesKeep {
			delete(a.phases, id)
			a.listChanged(id)
		}
	}
}

// ownPhase is a phase that this agent told, and is to tell again for a while.
type ownPhase struct {
	feed.Phase
	since, told time.Time
}

// retellPhases tells phases again, for those that missed them, until a later holder has told another. They stay in force here meanwhile.
func (a *Agent) retellPhases() {
	for id, p := range a.ownPhases {
		switch known := a.phases[id]; {
		case time.Since(p.since) > phasesTold || p.Before(known.Phase):
			delete(a.ownPhases, id)
		case time.Since(p.told) >= retellEvery:
			p.told = time.Now()
			a.ownPhases[id] = p
			told := map[string]feed.Phase{id: p.Phase}
			a.takePhases(told)
			a.news.tell(&feed.GossipMessage{Phases: told})
		}
	}
}
