package fleetdemo

import (
	"sync"
	"time"
)

// run is a request that an engine began.
type run struct {
	Request, Engine string
	Version         int64
	At              time.Time
}

// arrival is a request that reached an engine which did not refuse it.
type arrival struct {
	Engine string // life
	At     time.Time
}

// promptMaker is the request that made a part of a prompt at an engine, or that uses it, and its tenant.
type promptMaker struct{ Request, Tenant string }

// promptUse is the use of a part that an engine keeps or fetches.
type promptUse struct {
	User, Maker promptMaker
	Part        string
	At          time.Time // when the request that uses it came to the engine
}

// runLog is what engines did: it is what the judge of a soak goes by, apart from the programs. A nil one notes nothing.
type runLog struct {
	mu       sync.Mutex
	runs     []run
	arrivals map[string][]arrival // by request
	crashes  map[string]time.Time
	uses     []promptUse               // by other tenants than the part's maker
	endings  map[string][]streamEnding // of runs that an engine broke off, by request
}

func newRunLog() *runLog {
	return &runLog{arrivals: map[string][]arrival{}, crashes: map[string]time.Time{}, endings: map[string][]streamEnding{}}
}

// reached notes that a request is at an engine.
func (l *runLog) reached(request, engine string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[request] = append(l.arrivals[request], arrival{engine, time.Now()})
}

// began notes that an engine begins a request.
func (l *runLog) began(request, engine string, version int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run{request, engine, version, time.Now()})
}

// crashed notes the end of an engine's life.
func (l *runLog) crashed(engine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes[engine] = time.Now()
}

// brokeOff notes that an engine breaks off its answer to a request.
func (l *runLog) brokeOff(request string, ending streamEnding) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endings[request] = append(l.endings[request], ending)
}

// takeUses gives the uses noted since the last call.
func (l *runLog) takeUses() []promptUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	uses := l.uses
	l.uses = nil
	return uses
}

// used notes that a request uses a part that another tenant's request made.
func (l *runLog) used(use promptUse) {
	if l == nil || use.User.Tenant == use.Maker.Tenant {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses = append(l.uses, use)
}
