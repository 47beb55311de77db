// Package trial lets a trial build disable one mechanism of the fleet, or scale one constant, so that the
// mechanism's effect can be measured by running the same simulated scenarios with and without it. A trial build has
// the build tag `trial` and sets its switches at link time:
//
//	go build -tags trial -ldflags "-X nettlefold/internal/trial.switches=copy-price,attention=0.5" ./cmd/nettlefold
//
// Without the tag, Disabled always returns false and Scale always returns 1. The compiler inlines both,
// so a production build contains no switches.
package trial

// Mechanism is a mechanism of the fleet that can be disabled. Its value is the name of its switch.
type Mechanism string

// The mechanisms that can be disabled.
const (
	// DuplicatePrefillWeight weighs a prefill of shared parts that another backend holds more than its
	// time.
	DuplicatePrefillWeight Mechanism = "reread-weight"
	// ShortPrefillFirst gives short prefills a higher priority at an engine.
	ShortPrefillFirst Mechanism = "priority-by-reading"
	// CostJitter adds noise to the costs of backends to account for requests of other mixers that are not
	// reported yet.
	CostJitter Mechanism = "unseen-noise"
	// LearnedPrefillSpeed learns the prefill speed from response times.
	LearnedPrefillSpeed Mechanism = "learned-speed"
	// StoreSave saves prompt parts to a KV store.
	StoreSave Mechanism = "store-save"
	// PrefillInsteadOfFetch lets a backend prefill missing tokens where a fetch would take longer.
	PrefillInsteadOfFetch Mechanism = "read-instead"
	// SeparateLoadUpdates sends load updates separately from cache changes.
	SeparateLoadUpdates Mechanism = "news-apart"
	// NearestHolders prefers holders in the backend's zone.
	NearestHolders Mechanism = "nearest-holders"
	// CopyPenalty counts the memory that a second copy of a part takes.
	CopyPenalty Mechanism = "copy-price"
	// MemoryPressure counts the delay of requests at an engine whose KV cache is nearly full.
	MemoryPressure Mechanism = "memory-held"
	// OldVersionPenalty counts that a prefill under an old version of the weights is soon discarded.
	OldVersionPenalty Mechanism = "old-weights"
	// AdmissionControl refuses a request that would miss its target and asks the client to retry.
	AdmissionControl Mechanism = "admission"
	// LearnWhenNearlyIdle also learns from engines that have little work, not only from idle ones.
	LearnWhenNearlyIdle Mechanism = "quiet-learning"
	// SaveOnlyIfFaster saves parts only where transferring them is faster than prefilling them.
	SaveOnlyIfFaster Mechanism = "save-by-links"
	// LinkQueue learns how long fetches queue behind unreported transfers on a link.
	LinkQueue Mechanism = "link-wait"
	// SecondPreferredBackend lets the second backend in a prompt's rendezvous ranking prefill it at half the weight.
	SecondPreferredBackend Mechanism = "second-owner"
)

// Mechanisms lists all mechanisms in the order of result tables.
var Mechanisms = []Mechanism{
	DuplicatePrefillWeight, ShortPrefillFirst, CostJitter, LearnedPrefillSpeed, StoreSave, PrefillInsteadOfFetch,
	SeparateLoadUpdates, NearestHolders, CopyPenalty, MemoryPressure, OldVersionPenalty, AdmissionControl, SecondPreferredBackend,
	LearnWhenNearlyIdle, SaveOnlyIfFaster, LinkQueue,
}

// Constant is a constant that can be scaled. Its value is the name of its switch.
type Constant string

// The constants that can be scaled.
const (
	// Attention scales the attention time in ms per million pairs of tokens.
	Attention Constant = "attention"
	// RunningCost scales the delay in ms that each running request adds.
	RunningCost Constant = "running"
	// MemoryPressureCost scales the delay in ms that a full KV cache adds.
	MemoryPressureCost Constant = "crowded"
	// FetchBase scales the fixed time of a fetch in ms.
	FetchBase Constant = "fetch-base"
	// CopyCost scales the cost of a second copy of a part.
	CopyCost Constant = "copy-cost"
	// RolloutConcurrency scales the number of backends that load new weights at the same time.
	RolloutConcurrency Constant = "at-once"
	// DuplicatePrefillCost scales the weight of prefilling shared parts that another backend holds.
	DuplicatePrefillCost Constant = "reread"
)

// Constants lists all constants in the order of result tables.
var Constants = []Constant{
	Attention, RunningCost, MemoryPressureCost, FetchBase, CopyCost, RolloutConcurrency, DuplicatePrefillCost,
}
