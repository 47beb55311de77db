package agent

import (
	"time"

	"nettlefold/internal/feed"
)

// receivedPhase is a backend's phase and the time when it was last received.
type receivedPhase struct {
	feed.Phase
	receivedAt time.Time
}

// announcePhase applies a backend's phase and gossips it. A phase with a name takes the backend out
// of service. A phase without a name returns it to service: with a model and a version after these
// weights were loaded, without them after a failure.
func (r *rollout) announcePhase(backend string, phase feed.Phase) {
	phase.FencingToken = r.lease.fencingToken()
	r.agent.enqueue(func() {
		r.agent.phaseSeq++
		phase.Seq = r.agent.phaseSeq
		phases := map[string]feed.Phase{backend: phase}
		r.agent.applyPhases(phases)
		r.agent.announcedPhases[backend] = announcedPhase{phase, time.Now(), time.Now()}
		r.agent.gossip.publish(&feed.GossipMessage{Phases: phases})
	})
}

// applyPhases applies phases announced by rollout holders, except those that are older than the
// known ones.
func (a *Agent) applyPhases(phases map[string]feed.Phase) {
	var changed []string
	for backend, phase := range phases {
		known, ok := a.phases[backend]
		if ok && phase.Before(known.Phase) {
			continue
		}
		if !ok || phase != known.Phase {
			changed = append(changed, backend)
		}
		a.phases[backend] = receivedPhase{phase, time.Now()}
	}
	if len(changed) > 0 {
		a.markListChanged(changed...)
	}
}

// expirePhases drops phases that have not been announced for phaseTTL.
func (a *Agent) expirePhases() {
	for backend, phase := range a.phases {
		if time.Since(phase.receivedAt) > phaseTTL {
			delete(a.phases, backend)
			a.markListChanged(backend)
		}
	}
}

// announcedPhase is a phase that this agent announced and keeps announcing for a while.
type announcedPhase struct {
	feed.Phase
	firstSentAt, lastSentAt time.Time
}

// reannouncePhases announces phases again, for agents that missed them, for phaseAnnouncePeriod or
// until a newer one is known. Meanwhile they stay valid at this agent.
func (a *Agent) reannouncePhases() {
	for backend, phase := range a.announcedPhases {
		switch known := a.phases[backend]; {
		case time.Since(phase.firstSentAt) > phaseAnnouncePeriod || phase.Before(known.Phase):
			delete(a.announcedPhases, backend)
		case time.Since(phase.lastSentAt) >= phaseAnnounceInterval:
			phase.lastSentAt = time.Now()
			a.announcedPhases[backend] = phase
			phases := map[string]feed.Phase{backend: phase.Phase}
			a.applyPhases(phases)
			a.gossip.publish(&feed.GossipMessage{Phases: phases})
		}
	}
}
