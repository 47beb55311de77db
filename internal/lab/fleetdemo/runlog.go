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

// runLog is what engines did: it is what the judge of a soak goes by, apart from the programs. A nil one notes nothing.
type runLog struct {
	mu       sync.Mutex
	runs     []run
	arrivals map[string][]arrival // by request
	crashes  map[string]time.Time
}

func newRunLog() *runLog {
	return &runLog{arrivals: map[string][]arrival{}, crashes: map[string]time.Time{}}
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
