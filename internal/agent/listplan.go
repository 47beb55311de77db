package agent

import (
	"time"

	"nettlefold/internal/rendezvous"
)

const (
	listEvery = 600 * time.Millisecond
	// listRetry is the least time between two readings of one agent.
	listRetry = 300 * time.Millisecond
	// listStale is the age of the list from which the owner's first successor reads it too, each next one listSuccession later.
	listStale      = 1500 * time.Millisecond
	listSuccession = 400 * time.Millisecond
	listSuccessors = 3
	// hubStale is the age from which the hub of a zone does, as its zone may be cut off from the others, and memberStale that from which all
	// others do, at a pace at which all of them together make memberShare of the calls that the platform answers.
	hubStale    = 2300 * time.Millisecond
	memberStale = 2700 * time.Millisecond
	memberShare = 0.1
)

// listPlan is what decides whether an agent reads the platform's list now.
type listPlan struct {
	none      bool          // there is no list yet
	age       time.Duration // of the list in hand, or of this program
	sinceTry  time.Duration // since its last reading began
	rank      int           // 0 is the duty's owner, then its successors
	hub       bool          // of its zone
	members   int           // 0 if none are known
	pages     int           // of the list
	perSecond float64       // calls that the platform answers from all agents together
}

// due tells whether to read; chance is a random number from 0 up to 1.
func (p listPlan) due(chance float64) bool {
	if p.members == 0 || p.sinceTry < listRetry {
		return false // nobody is known to share the platform's calls with; no configuration is there to serve by, either
	}
	switch {
	case p.rank == 0:
		return p.none || p.age >= listEvery
	case p.rank <= listSuccessors && p.age >= listStale+time.Duration(p.rank-1)*listSuccession,
		p.hub && p.age >= hubStale:
		return p.sinceTry >= listEvery
	}
	return p.age >= memberStale && chance < float64(tickEvery)/float64(p.memberPause())
}

// memberPause is the mean time between two readings of each member that keeps all of them within their share of the platform's calls.
func (p listPlan) memberPause() time.Duration {
	if p.perSecond <= 0 {
		return time.Minute
	}
	seconds := float64(p.members*max(1, p.pages)) / (memberShare * p.perSecond)
	return max(listEvery, time.Duration(seconds*float64(time.Second)))
}

// plan is the plan as it stands now.
func (l *lists) plan(a *Agent, now time.Time) listPlan {
	return listPlan{
		none: a.list == nil, age: now.Sub(l.heardAt), sinceTry: now.Sub(l.triedAt), rank: a.listRank(), hub: a.news.hub(a.self.Zone) == a.self.Addr,
		members: len(a.members.Agents), pages: l.pages, perSecond: a.settings.CloudRate,
	}
}

// listRank is this agent's place among those that read the list: 0 is the duty's owner.
func (a *Agent) listRank() int {
	ranked := rendezvous.Top(listDuty, a.memberIDs(), listSuccessors+1)
	for rank, id := range ranked {
		if id == a.self.ID {
			return rank
		}
	}
	return listSuccessors + 1
}
