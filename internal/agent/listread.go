package agent

import (
	"time"

	"nettlefold/internal/rendezvous"
)

const (
	listReadInterval = 600 * time.Millisecond
	// listRetry is the least time between two readings of one agent.
	minListReadInterval = 300 * time.Millisecond
	// listStale is the age of the list from which the owner's first successor reads it too, each next one listSuccession later.
	successorReadAge     = 1500 * time.Millisecond
	successorReadAgeStep = 400 * time.Millisecond
	successorCount       = 3
	// hubStale is the age from which the hub of a zone does, as its zone may be cut off from the others, and memberStale that from which all
	// others do, at a pace at which all of them together make memberShare of the calls that the platform answers.
	hubReadAge      = 2300 * time.Millisecond
	memberReadAge   = 2700 * time.Millisecond
	memberRateShare = 0.1
)

// listPlan is what decides whether an agent reads the platform's list now.
type listReadInputs struct {
	noList        bool          // there is no list yet
	listAge       time.Duration // of the list in hand, or of this program
	sinceLastRead time.Duration // since its last reading began
	rank          int           // 0 is the duty's owner, then its successors
	isZoneHub     bool          // of its zone
	memberCount   int           // 0 if none are known
	pageCount     int           // of the list
	platformRate  float64       // calls that the platform answers from all agents together
}

// due tells whether to read; chance is a random number from 0 up to 1.
func (p listReadInputs) due(chance float64) bool {
	if p.memberCount == 0 || p.sinceLastRead < minListReadInterval {
		return false // nobody is known to share the platform's calls with; no configuration is there to serve by, either
	}
	switch {
	case p.rank == 0:
		return p.noList || p.listAge >= listReadInterval
	case p.rank <= successorCount && p.listAge >= successorReadAge+time.Duration(p.rank-1)*successorReadAgeStep,
		p.isZoneHub && p.listAge >= hubReadAge:
		return p.sinceLastRead >= listReadInterval
	}
	return p.listAge >= memberReadAge && chance < float64(tickInterval)/float64(p.memberReadInterval())
}

// memberPause is the mean time between two readings of each member that keeps all of them within their share of the platform's calls.
func (p listReadInputs) memberReadInterval() time.Duration {
	if p.platformRate <= 0 {
		return time.Minute
	}
	seconds := float64(p.memberCount*max(1, p.pageCount)) / (memberRateShare * p.platformRate)
	return max(listReadInterval, time.Duration(seconds*float64(time.Second)))
}

// plan is the plan as it stands now.
func (l *listSyncState) readInputs(a *Agent, now time.Time) listReadInputs {
	return listReadInputs{
		noList: a.backends == nil, listAge: now.Sub(l.receivedAt), sinceLastRead: now.Sub(l.lastReadAt), rank: a.listReaderRank(), isZoneHub: a.gossip.hubAddr(a.self.Zone) == a.self.Addr,
		memberCount: len(a.members.Agents), pageCount: l.pageCount, platformRate: a.settings.CloudRate,
	}
}

// listRank is this agent's place among those that read the list: 0 is the duty's owner.
func (a *Agent) listReaderRank() int {
	ranked := rendezvous.Top(listReaderKey, a.memberIDs(), successorCount+1)
	for rank, id := range ranked {
		if id == a.self.ID {
			return rank
		}
	}
	return successorCount + 1
}
