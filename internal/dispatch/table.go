package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"nettlefold/internal/config"
	"nettlefold/internal/kvindex"
	"nettlefold/internal/replicated"
	"nettlefold/internal/superseded"
	"nettlefold/internal/trial"
)

// Settings are the fleet's limits and this mixer's zone.
type Settings struct {
	Zone              string
	VersionLimit      time.Duration // from when a version of the weights is superseded until no response may begin on it
	ColdOvershoot     float64       // allowed factor on the request rate that a cold backend sustains
	ColdSlack         float64       // requests per second allowed beyond that
	RetryBudgetRatio  float64       // allowed retries per request
	RetryBudgetSlack  float64       // retries allowed beyond that ratio within a window
	RetryBudgetWindow time.Duration
	DiscoveryLag      time.Duration // maximum delay with which the platform's list shows a change
}

// Constants of the cost estimate and of the limits.
const (
	// initialTokensPerMS is the prefill speed that is assumed before any is learned.
	initialTokensPerMS = 40.0

	// Cost of a request to another zone: its latency, and its traffic, which is billed.
	crossZoneMS      = 4.0
	crossZoneMSPerKB = 1.5

	msPerRunningRequest         = 3.0                     // delay that each running request adds to the next one's first token
	minFetchTokens              = 256                     // fewer tokens are not worth the risk of a fetch
	fetchBaseMS                 = 3.0                     // fixed time of a fetch
	defaultLatencyMS            = 50.0                    // latency of a backend without an engine until one is measured
	versionSendShare            = 0.8                     // share of VersionLimit after which a superseded version gets no new request; the rest is left for the wait
	versionFirstByteShare       = 0.96                    // share of VersionLimit after which a request without a first byte is withdrawn; the rest is a margin
	attentionMSPerMillionPairs  = 0.25                    // attention time per million pairs of tokens
	duplicatePrefillFactor      = 12.0                    // cost of prefilling shared parts that another backend holds, relative to its time
	oldVersionPenalty           = 0.3                     // additional share of the prefill time at a backend whose cache is discarded soon
	memoryPressureShare         = 0.85                    // share of an engine's KV cache from which requests wait for others to end
	memoryPressureMSPerCapacity = 4000.0                  // ms of wait for memory per KV cache capacity of tokens above that share
	preferredPerPrompt          = 2                       // backends per prompt that prefill shared parts at a reduced duplicate cost
	prefillingTTL               = 3 * time.Second         // how long a backend is assumed to prefill or cache assigned parts
	maxPrefillingKeys           = 4096                    // per backend; expired keys are removed above this number
	stallTimeout                = 1200 * time.Millisecond // a backend is stalled without progress for stallTimeout + stallWaitFactor * expected wait
	stallWaitFactor             = 2                       // see stallTimeout
	crossZoneTransferFactor     = 2                       // relative to a transfer within a zone

	maxBaseSampleTokens       = 1500   // prefills below this size are samples of the base latency
	minSpeedSampleTokens      = 2500   // prefills from this size are samples of the speed
	speedQuantile             = 0.8    // of the speed samples; the base latency uses 1-speedQuantile
	minQuantileStep           = 0.05   // relative to the estimate
	nearlyIdleWaitMS          = 15.0   // the delay of five running requests
	minSampleMS               = 1.0    // lower bound of the time in a sample
	maxSpeedSampleFactor      = 2      // bound of one speed sample, relative to the estimate
	maxUnexpectedDelayMS      = 500.0  // a longer delay is due to a failure
	maxUnexpectedFetchDelayMS = 1500.0 // larger, because a fetch may queue behind many transfers

	// Admission control. A request whose wait is above minRefusalWaitShare of its target is refused if its first
	// token is expected after admitTargetFactor of its target. If it was refused or sent before, it is refused only
	// if its first token is expected after retriedAdmitShare of its remaining time.
	admitTargetFactor   = 1.3
	minRefusalWaitShare = 0.4
	retriedAdmitShare   = 0.8
	minRetryAfterMS     = 200.0
	maxRetryAfterMS     = 1500.0
	maxRetryAfterShare  = 0.25 // of the remaining time
	retriedRetryAfterMS = 300.0

	movingMeanWeight   = 0.1  // weight of the newest sample in a moving mean
	evictionMeanWeight = 0.02 // weight of the newest prompt in the means of shared and evicted tokens
	// evictionCostFactor is the cost of a copy relative to prefilling the tokens that it evicts once: these are
	// prefilled or fetched again later and evict others in turn.
	evictionCostFactor = 6.0
	trackedEvictions   = 8192 // evictions recorded to distinguish a miss after an eviction from a first use
	minSaveTokens      = 1024 // fewer shared tokens are not worth a save to the store

	// Only these shares of the fleet-wide limits are used, because mixers may disagree on the members. The shares
	// of the retry budget also leave room for restarted processes.
	coldAllowanceShare = 0.6
	retrySlackShare    = 0.4
	retryRatioShare    = 0.7

	// coldStartupWaitMS is how long a new process waits before it sends requests to cold backends. By then requests
	// that an earlier process of this mixer may have sent no longer count.
	coldStartupWaitMS = 1000.0
)

// Table is a mixer's view of the backends, their loads and their cached prompts.
type Table struct {
	settings       Settings
	config         *config.Table
	sharingSince   *int64                        // see SetSharingSince
	evacuatedZones map[string]uint64             // by name; 0 means not evacuated, no other value has a meaning here
	versionTimes   map[string]superseded.History // by model: when versions of the weights were superseded
	backends       map[string]*Backend           // by ID
	backendOrder   []string                      // IDs in the order of the platform's list
	byService      map[string][]*Backend
	stores         map[string]*Backend // KV stores by address; they serve no requests
	index          *kvindex.Index
	members        Members
	retryBudgets   map[string]*retryBudget     // by service
	estimates      map[string]*engineEstimates // by service
	random         *rand.Rand
	started        time.Duration
	// sharesRevision is incremented when the members or the configuration change, from which the shares of cold
	// backends are computed.
	sharesRevision uint64
	onFirstByte    func(c *Choice, ms float64) // nil if not set
}

// OnFirstByte sets a function that is called at the first byte of each response, with the choice and the time to
// the first byte in ms.
func (t *Table) OnFirstByte(f func(c *Choice, ms float64)) { t.onFirstByte = f }

// Members are the mixers that share the fleet-wide limits.
type Members struct {
	Self string
	All  []string // including Self
}

// New returns an empty table. now is the time at which this process started.
func New(now time.Duration, settings Settings, random *rand.Rand) *Table {
	return &Table{
		settings:     settings,
		backends:     map[string]*Backend{},
		byService:    map[string][]*Backend{},
		stores:       map[string]*Backend{},
		index:        newIndex(),
		retryBudgets: map[string]*retryBudget{},
		estimates:    map[string]*engineEstimates{},
		versionTimes: map[string]superseded.History{},
		random:       random,
		started:      now,
	}
}

func newIndex() *kvindex.Index {
	index := kvindex.New()
	index.TrackEvictions(trackedEvictions)
	return index
}

// Index returns the index of cached prompt parts. The caller applies the updates to it.
func (t *Table) Index() *kvindex.Index { return t.index }

// SetConfig sets the current configuration.
func (t *Table) SetConfig(c *config.Table) {
	t.config = c
	t.sharesRevision++
	stores := map[string]*Backend{}
	for s := range c.Services {
		if s.KVStoreAddress == "" {
			continue
		}
		store := t.stores[s.KVStoreAddress]
		if store == nil {
			store = &Backend{BackendInfo: BackendInfo{ID: s.KVStoreAddress, Service: s.Name, Addr: s.KVStoreAddress, Zone: s.Zone}}
		}
		stores[s.KVStoreAddress] = store
	}
	t.stores = stores
}

// SetState sets the operator's evacuations and the ordered versions of the models. versions holds, by model, the
// earliest times, by this table's clock, at which versions may have been ordered; ordering a version supersedes
// the earlier ones. A newest version that is missing there counts as ordered long ago. A zone that is no longer evacuated is
// assumed to be cold.
func (t *Table) SetState(now time.Duration, evacuated map[string]uint64, models map[string]replicated.ModelVersion,
	versions map[string]superseded.History) {
	for zone := range t.evacuatedZones {
		if _, ok := evacuated[zone]; !ok {
			t.markZoneCold(now, zone)
		}
	}
	t.evacuatedZones = evacuated
	for name, m := range models {
		t.versionTimes[name] = t.versionTimes[name].Merge(versions[name].With(m.Version, superseded.DistantPast))
	}
}

// markZoneCold marks the backends of a restored zone as cold, because they may have become cold unnoticed during
// the evacuation.
func (t *Table) markZoneCold(now time.Duration, zone string) {
	for _, b := range t.backends {
		if b.Zone == zone {
			b.coldUntil = max(b.coldUntil, now+t.coldStartDuration(b)+t.settings.DiscoveryLag)
		}
	}
}

// coldStartDuration returns how long a backend is cold after its start.
func (t *Table) coldStartDuration(b *Backend) time.Duration {
	if s := t.service(b.Service); s != nil {
		return time.Duration(s.ColdStartS * float64(time.Second))
	}
	return 0
}

// service returns the configuration of a service, nil if there is none.
func (t *Table) service(name string) *config.Service {
	if t.config == nil {
		return nil
	}
	return t.config.Service(name)
}

// SetMembers sets the mixers that share the fleet-wide limits.
func (t *Table) SetMembers(m Members) {
	t.members = m
	t.sharesRevision++
}

// SetBackends replaces the list of backends and their phases, which are keyed by ID. It returns the IDs of the
// backends that are no longer listed.
func (t *Table) SetBackends(now time.Duration, list []BackendInfo, phases map[string]string) (removed []string) {
	listed := make(map[string]bool, len(list))
	order := make([]string, 0, len(list))
	for i := range list {
		listed[list[i].ID] = true
		order = append(order, list[i].ID)
	}
	for id := range t.backends {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	t.UpdateBackends(now, list, phases, removed)
	t.backendOrder = order
	t.rebuildLookups()
	return removed
}

// UpdateBackends applies new and changed entries of the list with their phases, and removes backends.
func (t *Table) UpdateBackends(now time.Duration, changed []BackendInfo, phases map[string]string, removed []string) {
	isFirstList := len(t.backends) == 0
	for _, l := range changed {
		t.setBackend(now, l, phases[l.ID], isFirstList)
	}
	for _, id := range removed {
		delete(t.backends, id)
	}
	t.rebuildLookups()
}

// setBackend adds or updates a backend. isFirstList is set for the first list, whose backends were running before this
// mixer started.
func (t *Table) setBackend(now time.Duration, l BackendInfo, phase string, isFirstList bool) {
	coldUntil := now + time.Duration(l.ColdMS*float64(time.Millisecond))
	b := t.backends[l.ID]
	if b == nil {
		b = &Backend{}
		t.backends[l.ID] = b
		t.backendOrder = append(t.backendOrder, l.ID)
		if !isFirstList { // the backend has just started
			b.coldUntil = coldUntil
		}
	}
	if l.ColdMS > 0 {
		b.coldUntil = max(b.coldUntil, coldUntil)
	}
	b.BackendInfo, b.phase = l, phase
}

// rebuildLookups rebuilds byService in the order of the list.
func (t *Table) rebuildLookups() {
	clear(t.byService)
	t.backendOrder = slices.DeleteFunc(t.backendOrder, func(id string) bool { return t.backends[id] == nil })
	for _, id := range t.backendOrder {
		b := t.backends[id]
		t.byService[b.Service] = append(t.byService[b.Service], b)
	}
}

// SetOtherLoads sets the loads of all other mixers, keyed by backend ID.
func (t *Table) SetOtherLoads(loads map[string]Load) {
	for id, b := range t.backends {
		b.otherLoad = loads[id]
	}
}

// OwnLoads returns this mixer's loads that are not zero, keyed by backend ID.
func (t *Table) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, b := range t.backends {
		if b.ownLoad != (Load{}) {
			loads[id] = b.ownLoad
		}
	}
	return loads
}

// BackendCount returns the number of listed backends.
func (t *Table) BackendCount() int { return len(t.backends) }

// AvoidedCount returns the number of backends that are avoided now after a failure, a refusal or a
// response of the wrong instance or version.
func (t *Table) AvoidedCount(now time.Duration) (n int) {
	for _, b := range t.backends {
		if now < b.avoidUntil {
			n++
		}
	}
	return n
}

// Backend returns a backend by its ID, nil if it is not listed.
func (t *Table) Backend(id string) *Backend { return t.backends[id] }

// prefillTokensPerMS returns the prefill speed of a service's engines.
func (t *Table) prefillTokensPerMS(service string) float64 {
	if trial.Disabled(trial.LearnedPrefillSpeed) {
		return initialTokensPerMS
	}
	return t.estimatesOf(service).tokensPerMS
}

// estimatesOf returns the estimates of a service's engines and creates them if needed.
func (t *Table) estimatesOf(service string) *engineEstimates {
	e := t.estimates[service]
	if e == nil {
		e = &engineEstimates{tokensPerMS: initialTokensPerMS}
		t.estimates[service] = e
	}
	return e
}

// movingMean returns an exponential moving mean after a sample. A mean of 0 or NaN is replaced by the sample.
func movingMean(mean, sample float64) float64 {
	if mean == 0 || math.IsNaN(mean) {
		return sample
	}
	return mean + movingMeanWeight*(sample-mean)
}
