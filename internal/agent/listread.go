package agent

import (
	"time"

	"nettlefold/internal/rendezvous"
)

const (
	listReadInterval = 600 * time.Millisecond
	// minListReadInterval is the minimum time between two list reads of one agent.
	minListReadInterval = 300 * time.Millisecond
	// successorReadAge is the list age from which the reader's first successor reads the list too.
	// Each further successor waits successorReadAgeStep longer.
	successorReadAge     = 1500 * time.Millisecond
	successorReadAgeStep = 400 * time.Millisecond
	successorCount       = 3
	// hubReadAge is the list age from which a zone's hub reads the list, because its zone may be
	// cut off from the others.
	hubReadAge = 2300 * time.Millisecond
	// memberReadAge is the list age from which all other members read the list. Together they use
	// memberRateShare of the calls that the platform answers.
	memberReadAge   = 2700 * time.Millisecond
	memberRateShare = 0.1
)

// listReadInputs is the input of the decision whether an agent reads the platform's list now.
type listReadInputs struct {
	noList        bool          // no list is known yet
	listAge       time.Duration // age of the known list, or time since the agent started
	sinceLastRead time.Duration // since the start of the last read
	rank          int           // 0 is the list reader, then its successors
	isZoneHub     bool          // this agent is the hub of its zone
	memberCount   int           // 0 if no members are known
	pageCount     int           // pages of the list
	platformRate  float64       // calls per second that the platform answers, all agents together: setting CloudRate
}

// due reports whether to read the list now. random is a uniform random number in [0, 1).
func (in listReadInputs) due(random float64) bool {
	if in.memberCount == 0 || in.sinceLastRead < minListReadInterval {
		// Without members the platform's rate can't be shared, and there is no configuration to
		// serve either.
		return false
	}
	switch {
	case in.rank == 0:
		return in.noList || in.listAge >= listReadInterval
	case in.rank <= successorCount && in.listAge >= successorReadAge+time.Duration(in.rank-1)*successorReadAgeStep,
		in.isZoneHub && in.listAge >= hubReadAge:
		return in.sinceLastRead >= listReadInterval
	}
	return in.listAge >= memberReadAge && random < float64(tickInterval)/float64(in.memberReadInterval())
}

// memberReadInterval returns the mean time between two reads of one member at which all members
// together stay within their share of the platform's rate.
func (in listReadInputs) memberReadInterval() time.Duration {
	if in.platformRate <= 0 {
		return time.Minute
	}
	seconds := float64(in.memberCount*max(1, in.pageCount)) / (memberRateShare * in.platformRate)
	return max(listReadInterval, time.Duration(seconds*float64(time.Second)))
}

// readInputs returns the inputs of the read decision at now.
func (l *listSyncState) readInputs(a *Agent, now time.Time) listReadInputs {
	return listReadInputs{
		noList: a.backends == nil, listAge: now.Sub(l.receivedAt), sinceLastRead: now.Sub(l.lastReadAt), rank: a.listReaderRank(), isZoneHub: a.gossip.hubAddr(a.self.Zone) == a.self.Addr,
		memberCount: len(a.members.Agents), pageCount: l.pageCount, platformRate: a.settings.CloudRate,
	}
}

// listReaderRank returns this agent's rank among the readers of the list: 0 is the reader, then its
// successors.
func (a *Agent) listReaderRank() int {
	ranked := rendezvous.Top(listReaderKey, a.memberIDs(), successorCount+1)
	for rank, id := range ranked {
		if id == a.self.ID {
			return rank
		}
	}
	return successorCount + 1
}
