package mixer

import "slices"

// Adopt puts another version of the charter in force, for the lookups that are taken from now on. Of c it takes what may change
// while a mixer serves: of each tariff Expected, Patience, RepeatFor, CompleteFrom, LeastShare and Partial; MaxAdvice, Allowances
// and OverWorth. All else stays as at the start. The caller has seen to it that c has the start's rows; one with another number
// of tariffs or allowances changes nothing. c is copied.
//
// A lookup that was taken before ends under its own version: it holds its own row of the tariffs, which is never written again,
// and with it its time, its shares, its worth when not whole and how long its repeats are dropped. What else of the charter is
// read after its taking:
//   - Allowances and OverWorth, when the last part of its first step comes. No version may come between its Take and that part.
//   - MaxAdvice, when it is turned away: it is the newest version's then. Who wants each lookup's own, as the router does, says
//     the greatest of all versions here and cuts the advice to that of the lookup.
//   - long, the longest expected time: it sets when suspects are tested, and how much a mixer's first few answers tell. That is
//     of searchers and no lookup's; it follows the version.
//
// A client's next try is a lookup of its own, under the version of its own taking. Where that has another Patience than the try
// before, the time of the first try is reckoned from the new one.
//
// Nothing that was counted or learnt begins anew: the forward budget, cold allowances and what searchers bear, what forwards
// took, suspicion and customers' counts are as they would be without a version.
func (m *Mixer) UpdateConfig(_ int64, c Config) {
	if m == nil || len(c.Tariffs) != len(m.c.Tariffs) || len(c.Allowances) != len(m.c.Allowances) {
		return
	}
	rows := slices.Clone(c.Tariffs) // lookups point into the old ones
	m.long = float64(ms)
	for i := range rows {
		rows[i].Effect, rows[i].SecondStep = m.c.Tariffs[i].Effect, m.c.Tariffs[i].SecondStep
		m.long = max(m.long, float64(rows[i].Expected))
	}
	m.c.Tariffs, m.c.Allowances = rows, slices.Clone(c.Allowances)
	m.c.MaxAdvice, m.c.OverWorth = c.MaxAdvice, c.OverWorth
}
