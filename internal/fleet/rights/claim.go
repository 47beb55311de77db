package rights

import "slices"

// claim is an amount until a time of this life's clock, that answers a statement of its user.
type claim struct {
	amount, until int64
	number        uint64
}

// claims are those from one giver to one user that run at a time, by their ends, each as a rule less than the one before. The
// greatest that runs counts, at both ends. Each that the user counts has run for longer at its giver, so what the user may use is
// never more than what the giver counts as given, whichever of them came through.
type claims []claim

func (c claims) running(now int64) (most int64) {
	for _, x := range c {
		if x.until > now {
			most = max(most, x.amount)
		}
	}
	return most
}

// with adds one. It tells nothing that an earlier one tells already.
func (c claims) with(now int64, x claim) claims {
	for _, o := range c {
		if o.amount >= x.amount && o.until >= x.until && o.number >= x.number {
			return c
		}
	}
	c = slices.DeleteFunc(c, func(o claim) bool {
		return o.until <= now || o.amount <= x.amount && o.until <= x.until && o.number <= x.number
	})
	c = append(c, x)
	slices.SortFunc(c, func(a, b claim) int { return int(min(max(a.until-b.until, -1), 1)) })
	return c
}

// cut books that of all that answers statements before one no more than so much is used.
func (c claims) cut(before uint64, most int64) {
	for i := range c {
		if c[i].number < before {
			c[i].amount = min(c[i].amount, most)
		}
	}
}

// running is what counts of claims; a broken design would add up what replaces each other.
func (t *terms) running(c claims, now int64) int64 {
	if !t.summed {
		return c.running(now)
	}
	sum := int64(0)
	for _, x := range c {
		if x.until > now {
			sum += x.amount
		}
	}
	return sum
}

// more books what a giver gave. Where too many run, the first two become one that covers both.
func (c claims) more(now int64, x claim) claims {
	if c = c.with(now, x); len(c) > maxClaims {
		c[1].amount = max(c[0].amount, c[1].amount) // the first may have been cut below the second
		c = c[1:]
	}
	return c
}

// fewer books what a user got. Where too many run, it does without the greatest, which ends first.
func (c claims) fewer(now int64, x claim) claims {
	if c = c.with(now, x); len(c) > maxClaims {
		c = c[1:]
	}
	return c
}

func prune[K comparable](all map[key]map[K]claims, now int64) {
	for k, of := range all {
		for id, c := range of {
			if c = slices.DeleteFunc(c, func(x claim) bool { return x.until <= now }); len(c) == 0 {
				delete(of, id)
			} else {
				of[id] = c
			}
		}
		if len(of) == 0 {
			delete(all, k)
		}
	}
}
