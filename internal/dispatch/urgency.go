package dispatch

import (
	"math"

	"nettlefold/internal/trial"
)

const (
	// lowestPriority is what an engine takes for the least urgent, 0 for the most.
	lowestPriority = 9
	// middlePriority is that of a prompt which takes as long to read as the mean one, of the first rank; one that takes twice as long is one less
	// urgent.
	middlePriority = 4.5
	// rankFactor is how many times as long a prompt of the next rank counts.
	rankFactor = 1.5
)

// priority is how urgent a prompt is at an engine. What is read soon goes first: it holds the others up for little, and stands behind them for many
// times what it takes itself. Ranks of routes and tenants make a prompt count as longer, so that of two alike the more urgent is first.
func enginePriority(readMS, meanMS float64, rank int) int {
	if meanMS <= 0 || readMS <= 0 || trial.Disabled(trial.ShortPrefillFirst) {
		return min(max(0, rank), lowestPriority)
	}
	counts := readMS * math.Pow(rankFactor, float64(max(0, rank)))
	return min(max(0, int(math.Round(middlePriority+math.Log2(counts/meanMS)))), lowestPriority)
}
