package routing

import "nettlefold/mixer"

// Adopt puts a version of the settings in force, for lookups that are taken from now on: the charter, and how many lookups and parts
// may be open before no lookup is let in. It is a call to the module like any other, in the clock's order. The charter has as many rows as
// the start's, or nothing changes; mixer.Mixer.UpdateConfig says what of it counts. Lookups taken before end under the version they were
// taken under, with its MaxAdvice too: the module is told the greatest of all versions, and each ticket cuts it to its own. What is
// open stays open where the new most is below it; nothing more is let in until it is not.
func (r *Router) Adopt(c mixer.Config, open int) {
	if len(c.Tariffs) != len(r.charter.Tariffs) || len(c.Allowances) != len(r.charter.Allowances) {
		return
	}
	r.call(nil, func(now int64) {
		r.most, r.advice = open, c.MaxAdvice
		r.longest = max(r.longest, c.MaxAdvice)
		c.MaxAdvice = r.longest
		r.m.UpdateConfig(now, c)
	})
}
