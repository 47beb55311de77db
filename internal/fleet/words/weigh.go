package words

import (
	"slices"

	"nettlefold/internal/sharing"
)

// weigh says what is to be told of a process now.
func (j *Judge) weigh(now int64, m *matter, enter, stay, vouch sharing.Jury) {
	tellers := make([]sharing.Teller, 0, len(m.said))
	for v, r := range m.said {
		zone := v.sheet.Zone
		if j.flaw.oneZone {
			zone = enter.Zone
		}
		tellers = append(tellers, sharing.NewTeller(now, zone, r, v.seen))
	}
	if !j.flaw.unanswers {
		tellers = j.newer(now, tellers, vouch.Quorum)
	}
	jury := enter
	if m.told.Kind == silent || m.told.Kind == slow {
		jury = stay
	}
	if j.flaw.unanswers {
		jury.Answered = 0
	}
	heard := m.first > 0 && now-m.first >= hearing
	v := jury.Judge(now, tellers, heard, false)
	known := m.told.Kind == silent || m.told.Kind == sound || m.suspects >= enter.Quorum
	switch {
	case known && (m.suspects > 0 || m.told.Kind == silent) && vouch.Judge(now, tellers, false, false).Sound:
		m.say(now, sound, v.Well, 0, 0)
	case v.Silent:
		m.say(now, silent, v.Suspecting, 0, 0)
	case v.Slow >= standsOut || m.told.Kind == slow && v.Slow >= endsAt:
		m.say(now, slow, v.Paced, v.Slow, v.Weight)
	case m.told.Kind == "" && m.slows >= enter.Quorum && now >= m.shelf:
		m.first = now
		m.say(now, asked, m.slows, 0, 0)
	case m.told.Kind == asked && now-m.first < hearing+Every:
		m.support = now
	case now-m.support >= lull || j.flaw.flaps || m.told.Kind == asked:
		if m.told.Kind == asked {
			m.shelf = now + shelved
		}
		m.told, m.first = Told{}, 0
	}
	if m.told.Kind != "" {
		m.told.Suspecting = rough(m.suspects, m.told.Suspecting)
	}
}

// say has a word told, or stand on. What differs little is not told anew.
func (m *matter) say(now int64, kind string, n int, pace, weight float64) {
	if m.told.Kind != kind {
		m.told, m.since = Told{Searcher: m.searcher, Started: m.started, Kind: kind}, now
	}
	m.support = now
	m.told.Say = rough(n, m.told.Say)
	if t := &m.told; pace > 0 && (pace >= t.Slow*step || pace <= t.Slow/step) {
		t.Slow, t.Weight = float64(int(pace*100))/100, float64(int(weight)+1)
	}
}

// newer leaves out suspicions that are older than answers which a quorum has had since: so many suspects test so rarely that they
// would outvote for minutes those who met it again.
func (j *Judge) newer(now int64, tellers []sharing.Teller, quorum int) []sharing.Teller {
	var answers []int64
	for _, t := range tellers {
		if t.Row.Suspect == 0 && t.Row.Heard > 0 && t.Row.Heard*ms+now-t.Seen < answered {
			answers = append(answers, t.Seen-t.Row.Heard*ms)
		}
	}
	if len(answers) < quorum {
		return tellers
	}
	slices.Sort(answers)
	since := answers[len(answers)-quorum]
	return slices.DeleteFunc(tellers, func(t sharing.Teller) bool { return t.Row.Suspect > 0 && t.Seen-t.Row.Suspect*ms < since })
}
