package fleetdemo

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of what a soak does to the fleet and about it.
const (
	actConfigure  = "configure"       // the operator sends a configuration with other routes and times
	actName       = "name weights"    // the operator names new weights
	actTermFront  = "term front"      // agent and proxy get SIGTERM, and are started again when they have ended
	actKillFront  = "kill front"      // SIGKILL, and a new start
	actFreeze     = "freeze front"    // SIGSTOP and SIGCONT
	actHangUp     = "hup front"       // SIGHUP
	actTermCore   = "term controller" // as with fronts
	actKillCore   = "kill controller"
	actOutage     = "outage controllers" // all but one are killed and soon back; that one, which serves meanwhile, loses its disk
	actCrash      = "crash engine"       // it comes back with another identity and the weights it had
	actSilence    = "silence engine"
	actSlow       = "slow engine"
	actDrain      = "drain engine"  // the platform's list shows it as draining; later it ends, and another life of it is ready
	actEvacuate   = "evacuate zone" // the operator has a zone emptied, and takes that back
	actCutFront   = "cut front"     // a front is cut off from all other machines
	actCutLink    = "cut link"      // a front is cut off from one controller
	actCutCore    = "cut controller"
	actCutBridge  = "cut bridge" // a controller is cut off from the next one alone
	actCutZone    = "cut zones"  // all machines of one zone are cut off from those of the other
	mostSilence   = 3 * time.Second
	leastGap      = 300 * time.Millisecond
	meanGap       = 700 * time.Millisecond
	firstAct      = time.Second
	heavyInterval = 3 * time.Second // between two losses of controllers: more at once are not borne
	mostOutage    = time.Second     // that all controllers but one are down
	diskInterval  = 8 * time.Second // before and after the loss of a disk, in which its contents are replicated
	evacuateLeast = soakEvacuationLimit + 500*time.Millisecond
	drainLeast    = soakDrainLimit + 500*time.Millisecond
	lingers       = 2 * time.Second // that a zone is evacuated, or a draining engine serves, beyond the least
)

// act is one event of a plan.
type act struct {
	At     time.Duration // from the start of traffic
	Kind   string
	Target int           // number of the front, controller or engine
	For    time.Duration // how long it is away, frozen, silent or slow
}

func (a act) String() string {
	return fmt.Sprintf("%7.2f s  %s %d for %v", a.At.Seconds(), a.Kind, a.Target+1, a.For)
}

// actWeights has how often each kind is drawn.
var actWeights = []struct {
	kind   string
	weight int
}{
	{actConfigure, 8}, {actName, 3}, {actTermFront, 3}, {actKillFront, 1}, {actFreeze, 1}, {actHangUp, 2}, {actTermCore, 1}, {actKillCore, 1}, {actOutage, 2},
	{actCrash, 3}, {actSilence, 4}, {actSlow, 2},
	{actDrain, 3}, {actEvacuate, 2},
	{actCutFront, 1}, {actCutLink, 2}, {actCutCore, 1}, {actCutBridge, 1}, {actCutZone, 1},
}

// The shortest cut of a soak, and the longest one where nothing else is wanted.
const (
	LeastCut = 300 * time.Millisecond
	UsualCut = 4 * time.Second
)

// makePlan draws the events of a soak. A seed gives the same plan each time.
func makePlan(seed uint64, length time.Duration, of size, longestCut time.Duration) []act {
	random := rand.New(rand.NewPCG(seed, 0))
	total := 0
	for _, w := range actWeights {
		total += w.weight
	}
	var plan []act
	var coreBusy, diskBusy, evacuated, named time.Duration
	for at := firstAct; at < length; at += leastGap + time.Duration(random.ExpFloat64()*float64(meanGap-leastGap)) {
		a := act{At: at, Kind: drawKind(random, total)}
		switch a.Kind {
		case actTermCore, actKillCore:
			a.Target, a.For = random.IntN(of.controllers), time.Duration(random.IntN(1000))*time.Millisecond
			if at < coreBusy {
				continue
			}
			coreBusy = at + a.For + heavyInterval
		case actOutage:
			a.Target, a.For = random.IntN(of.controllers), drawTime(random, LeastCut, mostOutage)
			if at < coreBusy || at < diskBusy {
				continue
			}
			coreBusy = at + a.For + diskInterval
		case actCutCore, actCutBridge, actCutZone:
			a.Target, a.For = random.IntN(of.controllers), drawTime(random, LeastCut, longestCut)
			if at < coreBusy {
				continue
			}
			coreBusy = at + a.For + heavyInterval
			diskBusy = at + a.For + diskInterval
		case actCutFront, actCutLink:
			a.Target, a.For = random.IntN(of.fronts), drawTime(random, LeastCut, longestCut)
		case actEvacuate:
			a.Target, a.For = random.IntN(zones), drawTime(random, evacuateLeast, evacuateLeast+lingers)
			if at < evacuated { // of both zones at once nothing is left
				continue
			}
			evacuated = at + a.For + time.Second
		case actDrain:
			a.Target, a.For = random.IntN(of.engines), drawTime(random, drainLeast, drainLeast+lingers)
		case actTermFront, actKillFront, actFreeze, actHangUp:
			a.Target, a.For = random.IntN(of.fronts), time.Duration(200+random.IntN(1300))*time.Millisecond
		case actCrash, actSilence, actSlow:
			a.Target, a.For = random.IntN(of.engines), time.Duration(100+random.IntN(int(mostSilence.Milliseconds())))*time.Millisecond
		case actName:
			if at < named {
				continue
			}
			named = at + time.Second
		}
		plan = append(plan, a)
	}
	slices.SortFunc(plan, func(x, y act) int { return int(x.At - y.At) })
	return plan
}

func drawTime(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func drawKind(random *rand.Rand, total int) string {
	n := random.IntN(total)
	for _, w := range actWeights {
		if n < w.weight {
			return w.kind
		}
		n -= w.weight
	}
	return actConfigure
}
