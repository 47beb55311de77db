package agent

import (
	"time"

	"nettlefold/internal/feed"
)

// phaseNews is a phase as it was heard last.
type receivedPhase struct {
	feed.Phase
	receivedAt time.Time
}

// phase tells everyone at once what a backend is at.
func (r *rollout) announcePhase(id string, p feed.Phase) {
	p.FencingToken = r.lease.fencingToken()
	r.agent.enqueue(func() {
		r.agent.phaseSeq++
		p.Seq = r.agent.phaseSeq
		told := map[string]feed.Phase{id: p}
		r.agent.applyPhases(told)
		r.agent.announcedPhases[id] = announcedPhase{p, time.Now(), time.Now()}
		r.agent.gossip.publish(&feed.GossipMessage{Phases: told})
	})
}

// takePhases takes what holders of orders told, but for what came after something newer.
func (a *Agent) applyPhases(phases map[string]feed.Phase) {
	var changed []string
	for id, p := range phases {
		known, is := a.phases[id]
		if is && p.Before(known.Phase) {
			continue
		}
		if !is || p != known.Phase {
			changed = append(changed, id)
		}
		a.phases[id] = receivedPhase{p, time.Now()}
	}
	if len(changed) > 0 {
		a.markListChanged(changed...)
	}
}

// expirePhases drops what nobody tells any more.
func (a *Agent) expirePhases() {
	for id, p := range a.phases {
		if time.Since(p.receivedAt) > phaseTTL {
			delete(a.phases, id)
			a.markListChanged(id)
		}
	}
}

// ownPhase is a phase that this agent told, and is to tell again for a while.
type announcedPhase struct {
	feed.Phase
	firstSentAt, lastSentAt time.Time
}

// retellPhases tells phases again, for those that missed them, until a later holder has told another. They stay in force here meanwhile.
func (a *Agent) reannouncePhases() {
	for id, p := range a.announcedPhases {
		switch known := a.phases[id]; {
		case time.Since(p.firstSentAt) > phaseAnnouncePeriod || p.Before(known.Phase):
			delete(a.announcedPhases, id)
		case time.Since(p.lastSentAt) >= phaseAnnounceInterval:
			p.lastSentAt = time.Now()
			a.announcedPhases[id] = p
			told := map[string]feed.Phase{id: p.Phase}
			a.applyPhases(told)
			a.gossip.publish(&feed.GossipMessage{Phases: told})
		}
	}
}
