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

// Settings are what the rules and the machine's place say.
type Settings struct {
	Zone              string
	VersionLimit      time.Duration // after which a request may begin on an older version no more
	ColdOvershoot     float64
	ColdSlack         float64
	RetryBudgetRatio  float64
	RetryBudgetSlack  float64
	RetryBudgetWindow time.Duration
	DiscoveryLag      time.Duration
}

// Figures of the estimate. The reading speed is where what is learned begins.
const (
	initialTokensPerMS         = 40.0
	crossZoneMS                = 4.0  // what a hop to another zone is taken for, in ms
	crossZoneMSPerKB           = 1.5  // and each KB of the request that goes there: it is paid for
	msPerRunningRequest        = 3.0  // what a running generation adds to the next one's start
	minFetchTokens             = 256  // tokens from which a fetch is worth its risk
	fetchBaseMS                = 3.0  // of any fetch
	defaultLatencyMS           = 50.0 // of a request of whose service nothing is known
	versionSendShare           = 0.8  // share of the version's limit after which older ones get nothing more
	versionFirstByteShare      = 0.96 // share of it after which what has not begun there is taken back
	attentionMSPerMillionPairs = 0.25 // of a million pairs of tokens, as engines with nothing else to do showed on two deployments
	duplicatePrefillFactor     = 12.0 // by how much reading anew what others keep or read counts more than the time it takes
	oldVersionPenalty          = 0.3  // what is added to the time to read at a backend whose memory is dropped soon
	memoryPressureShare        = 0.85 // of an engine's memory, from which requests wait for others to end
	memoryPressureMS           = 4000.0
	ownersPerPrompt            = 2
	prefillingTTL              = 3 * time.Second
	maxPrefillingKeys          = 4096
	stallTimeout               = 1200 * time.Millisecond // beyond what is expected, until a backend is taken for silent
	stallWaitFactor            = 2
	crossZoneTransferFactor    = 2    // by how much a move between zones takes longer
	maxBaseSampleTokens        = 1500 // tokens read, below which an answer tells what comes before the reading
	minSpeedSampleTokens       = 2500 // and from which it tells the speed
	speedQuantile              = 0.8
	minQuantileStep            = 0.05
	nearlyIdleWaitMS           = 15.0 // that a request waits at the most where its answer tells the speed: five running generations
	minSampleMS                = 1.0
	maxSpeedSampleFactor       = 2      // times the speed that is believed, for which one answer counts at the most
	maxUnexpectedDelayMS       = 500.0  // of what an answer takes beyond what was expected: more is a failure's
	maxUnexpectedFetchDelayMS  = 1500.0 // likewise of an answer with a fetch: many moves may stand before it
	admitTargetFactor          = 1.3    // of its target by which a request must be expected to begin, to be taken when others wait
	minRefusalWaitShare        = 0.4    // of its target that a request waits before any is refused
	repeatedAdmitShare         = 0.8    // of the time left, likewise for one that came again
	minRetryAfterMS            = 200.0
	maxRetryAfterMS            = 1500.0
	maxRetryAfterShare         = 0.25 // of the time left
	repeatedRetryAfterMS       = 300.0
	movingMeanWeight           = 0.1   // of the newest figure in a moving mean
	evictionMeanWeight         = 0.02  // of the newest prompt in the share of tokens that were displaced
	evictionCostFactor         = 6.0   // by how much a copy costs more than what it displaces itself: what is read or fetched again displaces in turn
	trackedEvictions           = 8192  // parts that engines dropped last, by which a miss is known for one of displacement
	minSaveTokens              = 1024  // shared tokens from which a prompt is worth saving to the store
	coldAllowanceShare         = 0.6   // of the rules' allowance that is given out, as members may differ on who they are
	retrySlackShare            = 0.4   // likewise of the retry budget's slack, and room for processes that start anew
	retryRatioShare            = 0.7   // likewise of its ratio
	coldStartupWaitMS          = 1000. // after the start: what an earlier life of this process may have sent is over
)

// Table is what a mixer knows.
type Table struct {
	settings       Settings
	config         *config.Table
	evacuatedZones map[string]uint64
	versionTimes   map[string]superseded.History // since when versions are wanted
	backends       map[string]*Backend
	backendOrder   []string // identities, as the list has them
	byService      map[string][]*Backend
	byAddr         map[string]*Backend
	stores         map[string]*Backend // stores of kept prompts, by address; they serve nothing
	index          *kvindex.Index
	members        Members
	retryBudgets   map[string]*retryBudget
	estimates      map[string]*engineEstimates // of a service's engines
	random         *rand.Rand
	started        time.Duration
	// sharesNumber counts what the shares of cold backends follow from: members and configurations.
	sharesRevision uint64
	onFirstByte    func(c *Choice, ms float64) // sees what was expected and what came, if set
}

// Observe has f see each choice as its answer begins, and the ms that it took.
func (t *Table) OnFirstByte(f func(c *Choice, ms float64)) { t.onFirstByte = f }

// Members is who shares the sums with this mixer.
type Members struct {
	Self string
	All  []string
}

// New makes an empty table at a time.
func New(now time.Duration, settings Settings, random *rand.Rand) *Table {
	return &Table{
		settings:     settings,
		backends:     map[string]*Backend{},
		byService:    map[string][]*Backend{},
		byAddr:       map[string]*Backend{},
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

// Index is the index of kept prompts, for feeding it.
func (t *Table) Index() *kvindex.Index { return t.index }

// SetConfig takes the configuration in force.
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

// SetState takes what else the operator ordered. versions has since when, by this table's clock, those of models are known to be wanted.
func (t *Table) SetState(now time.Duration, evacuated, restored map[string]uint64, models map[string]replicated.ModelVersion, versions map[string]superseded.History) {
	for zone := range t.evacuatedZones {
		if _, still := evacuated[zone]; !still {
			t.markZoneCold(now, zone)
		}
	}
	t.evacuatedZones = evacuated
	for name, m := range models {
		t.versionTimes[name] = t.versionTimes[name].Merge(versions[name].With(m.Version, superseded.DistantPast))
	}
}

// chill takes the backends of a zone for cold that has just been given back: they may have become so unseen.
func (t *Table) markZoneCold(now time.Duration, zone string) {
	for _, b := range t.backends {
		if b.Zone == zone {
			b.coldUntil = max(b.coldUntil, now+t.coldStartDuration(b)+t.settings.DiscoveryLag)
		}
	}
}

func (t *Table) coldStartDuration(b *Backend) time.Duration {
	if s := t.service(b.Service); s != nil {
		return time.Duration(s.ColdStartS * float64(time.Second))
	}
	return 0
}

func (t *Table) service(name string) *config.Service {
	if t.config == nil {
		return nil
	}
	return t.config.Service(name)
}

// SetMembers takes who shares the sums.
func (t *Table) SetMembers(m Members) {
	t.members = m
	t.sharesRevision++
}

// SetBackends takes the platform's list and the phases that the owners of orders tell. It gives the identities that are gone.
func (t *Table) SetBackends(now time.Duration, list []BackendInfo, phases map[string]string) (gone []string) {
	listed := make(map[string]bool, len(list))
	order := make([]string, 0, len(list))
	for i := range list {
		listed[list[i].ID] = true
		order = append(order, list[i].ID)
	}
	for id := range t.backends {
		if !listed[id] {
			gone = append(gone, id)
		}
	}
	t.UpdateBackends(now, list, phases, gone)
	t.backendOrder = order
	t.rebuildLookups()
	return gone
}

// ChangeBackends takes the entries of the list that changed or are new, with their phases, and drops those that are gone.
func (t *Table) UpdateBackends(now time.Duration, changed []BackendInfo, phases map[string]string, gone []string) {
	first := len(t.backends) == 0
	for _, l := range changed {
		t.setBackend(now, l, phases[l.ID], first)
	}
	for _, id := range gone {
		delete(t.backends, id)
	}
	t.rebuildLookups()
}

// setBackend takes an entry of the list; first tells that the list is the first one, of backends that were there before this mixer.
func (t *Table) setBackend(now time.Duration, l BackendInfo, phase string, first bool) {
	cold := now + time.Duration(l.ColdMS*float64(time.Millisecond))
	b := t.backends[l.ID]
	if b == nil {
		b = &Backend{}
		t.backends[l.ID] = b
		t.backendOrder = append(t.backendOrder, l.ID)
		if !first { // it started during traffic
			b.coldUntil = cold
		}
	}
	if l.ColdMS > 0 {
		b.coldUntil = max(b.coldUntil, cold)
	}
	b.BackendInfo, b.phase = l, phase
}

// arrange sorts the backends by service and address, in the list's order.
func (t *Table) rebuildLookups() {
	clear(t.byService)
	clear(t.byAddr)
	t.backendOrder = slices.DeleteFunc(t.backendOrder, func(id string) bool { return t.backends[id] == nil })
	for _, id := range t.backendOrder {
		b := t.backends[id]
		t.byService[b.Service] = append(t.byService[b.Service], b)
		t.byAddr[b.Addr] = b
	}
}

// SetLoads takes what the other mixers have at backends.
func (t *Table) SetOtherLoads(loads map[string]Load) {
	for id, b := range t.backends {
		b.otherLoad = loads[id]
	}
}

// Loads gives what this mixer has at backends, those with nothing left out.
func (t *Table) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, b := range t.backends {
		if b.ownLoad != (Load{}) {
			loads[id] = b.ownLoad
		}
	}
	return loads
}

// Size is how many backends are listed.
func (t *Table) BackendCount() int { return len(t.backends) }

// Avoided counts the backends that get nothing now because of failures.
func (t *Table) AvoidedCount(now time.Duration) (n int) {
	for _, b := range t.backends {
		if now < b.avoidUntil {
			n++
		}
	}
	return n
}

// Backend finds a backend by its identity, nil if it is gone.
func (t *Table) Backend(id string) *Backend { return t.backends[id] }

// readSpeed is how many tokens of a prompt an engine of the service reads in a ms.
func (t *Table) prefillTokensPerMS(service string) float64 {
	if trial.Disabled(trial.LearnedPrefillSpeed) {
		return initialTokensPerMS
	}
	return t.estimatesOf(service).tokensPerMS
}

func (t *Table) estimatesOf(service string) *engineEstimates {
	l := t.estimates[service]
	if l == nil {
		l = &engineEstimates{tokensPerMS: initialTokensPerMS}
		t.estimates[service] = l
	}
	return l
}

func movingMean(old, new float64) float64 {
	if old == 0 || math.IsNaN(old) {
		return new
	}
	return old + movingMeanWeight*(new-old)
}
