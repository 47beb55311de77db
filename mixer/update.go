package mixer

import "slices"

// UpdateConfig puts another version of the configuration in force for lookups that start from now
// on. It takes over only what may change while a mixer serves: of each tariff Expected, Patience,
// RepeatFor, CompleteFrom, LeastShare and Partial; MaxAdvice, Allowances and OverWorth. The caller
// ensures that c has the tariffs and allowances passed to New in the same order; a configuration
// with another number of either is ignored without an error. c is copied.
//
// A lookup that started before keeps its tariff, which is never modified, and with it its deadline,
// shares, partial revenue and repeat time. The rest of the configuration that is read after the
// start of a lookup:
//   - Allowances and OverWorth, when the last part of the first step is added. UpdateConfig must not
//     be called between StartLookup and that AddPart.
//   - MaxAdvice, when the lookup is rejected: the newest version applies. A caller that wants each
//     lookup's own, as internal/routing does, passes the largest of all versions here and limits the
//     advice to that of the lookup.
//   - The longest expected time, which sets the probe interval and how much weight a mixer's first
//     few answers have. It concerns searchers and no single lookup, and follows the newest version.
//
// A client's retry is a new lookup under the version of its own start. If its Patience differs from
// that of the first try, the time of the first try is computed from the new one.
//
// All counters and statistics continue: the retry budget, cold allowances, warm rates, latencies,
// suspicion and the customers' counts are as without an update.
func (m *Mixer) UpdateConfig(_ int64, c Config) {
	if m == nil || len(c.Tariffs) != len(m.config.Tariffs) || len(c.Allowances) != len(m.config.Allowances) {
		return
	}
	tariffs := slices.Clone(c.Tariffs) // lookups point into the old ones
	m.longestExpected = float64(ms)
	for i := range tariffs {
		tariffs[i].Effect, tariffs[i].SecondStep = m.config.Tariffs[i].Effect, m.config.Tariffs[i].SecondStep
		m.longestExpected = max(m.longestExpected, float64(tariffs[i].Expected))
	}
	m.config.Tariffs, m.config.Allowances = tariffs, slices.Clone(c.Allowances)
	m.config.MaxAdvice, m.config.OverWorth = c.MaxAdvice, c.OverWorth
}
