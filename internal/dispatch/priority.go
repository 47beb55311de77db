package dispatch

import (
	"math"

	"nettlefold/internal/trial"
)

const (
	// lowestPriority is the least urgent priority at an engine; 0 is the most urgent.
	lowestPriority = 9
	// unratedPriority is the priority that an engine assumes for requests without one.
	unratedPriority = 5
	// middlePriority is the priority of a prompt of policy rank 0 with the mean prefill time. Twice the prefill time
	// makes a prompt less urgent by 1.
	middlePriority = 4.5
	// policyRankFactor is the factor on the prefill time for each policy rank.
	policyRankFactor = 1.5
)

// enginePriority returns the priority of a prompt at an engine, from 0 (most urgent) to lowestPriority. Short
// prefills come first: they delay others little, while waiting behind a long prefill takes many times their own
// duration. The policy rank of the route and tenant scales the prefill time, so of two equal prompts the one with the
// more urgent policy rank comes first.
func enginePriority(prefillMS, meanPrefillMS float64, rank int) int {
	if meanPrefillMS <= 0 || prefillMS <= 0 || trial.Disabled(trial.ShortPrefillFirst) {
		return min(max(0, rank), lowestPriority)
	}
	rankedMS := prefillMS * math.Pow(policyRankFactor, float64(max(0, rank)))
	return min(max(0, int(math.Round(middlePriority+math.Log2(rankedMS/meanPrefillMS)))), lowestPriority)
}
