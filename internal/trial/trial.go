// Package trial lets a trial build switch one mechanism of the fleet off, or multiply one constant, so that what it is worth can be measured by
// playing the same days with and without it. A trial build has the build tag `trial` and names its switches at link time:
//
//	go build -tags trial -ldflags "-X nettlefold/internal/trial.switches=copy-price,attention=0.5" ./cmd/nettlefold
//
// Without the tag Off is always false and Scale always 1, which the compiler removes: no program that ships can switch anything off.
package trial

// Mechanism is a part of a decision that can be switched off.
type Mechanism string

// The mechanisms.
const (
	DuplicatePrefillWeight Mechanism = "reread-weight"       // reading shared parts again counts more than its time
	ShortPrefillFirst      Mechanism = "priority-by-reading" // engines take first what is read soon
	CostJitter             Mechanism = "unseen-noise"        // costs are drawn apart by what others have just sent
	LearnedPrefillSpeed    Mechanism = "learned-speed"       // reading speed is learned from answers
	StoreSave              Mechanism = "store-save"          // parts are saved to a store
	PrefillInsteadOfFetch  Mechanism = "read-instead"        // a backend reads what it lacks where a fetch takes longer
	SeparateLoadUpdates    Mechanism = "news-apart"          // loads are told apart from changes of kept prompts
	NearestHolders         Mechanism = "nearest-holders"     // holders in the backend's zone are preferred
	CopyPenalty            Mechanism = "copy-price"          // a second copy of a part takes memory
	MemoryPressure         Mechanism = "memory-held"         // a request waits where memory is nearly full
	OldVersionPenalty      Mechanism = "old-weights"         // what is read under old weights is dropped soon
	AdmissionControl       Mechanism = "admission"           // a request that came too late is asked to come again
	LearnWhenNearlyIdle    Mechanism = "quiet-learning"      // engines with little to do teach their speed too
	SaveOnlyIfFaster       Mechanism = "save-by-links"       // parts are saved only where moving them is faster than reading
	LinkQueue              Mechanism = "link-wait"           // what fetches wait for unseen moves is learned
	SecondOwner            Mechanism = "second-owner"        // the second of a prompt's ranking may read it too
)

// Mechanisms is all of them, in the order in which tables name them.
var Mechanisms = []Mechanism{
	DuplicatePrefillWeight, ShortPrefillFirst, CostJitter, LearnedPrefillSpeed, StoreSave, PrefillInsteadOfFetch, SeparateLoadUpdates, NearestHolders, CopyPenalty,
	MemoryPressure, OldVersionPenalty, AdmissionControl, SecondOwner, LearnWhenNearlyIdle, SaveOnlyIfFaster, LinkQueue,
}

// Constant is a figure of the estimate that can be multiplied.
type Constant string

// The constants.
const (
	Attention            Constant = "attention"  // ms of a million pairs of tokens
	RunningCost          Constant = "running"    // ms that a running generation adds
	MemoryPressureCost   Constant = "crowded"    // ms that a full memory adds
	FetchBase            Constant = "fetch-base" // ms of any fetch
	CopyCost             Constant = "copy-cost"  // what a second copy costs
	RolloutConcurrency   Constant = "at-once"    // backends out of service at a time for new weights
	DuplicatePrefillCost Constant = "reread"     // how much reading shared parts again counts
)

// Constants is all of them, in the order in which tables name them.
var Constants = []Constant{Attention, RunningCost, MemoryPressureCost, FetchBase, CopyCost, RolloutConcurrency, DuplicatePrefillCost}
