package scale

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-metrics"

	"nettlefold/internal/fleet/roster"
)

// AllToAll is what members of the roster use, where each knows of each and nothing rides on their exchanges.
type AllToAll struct {
	Members int
	Settled time.Duration // until members held 0.999 of each other to be here, or the time for it was over
	Known   float64       // of each other, at the end
	Bytes   float64       // payload a second and member, sent; as much is received
	CPU     float64       // share of a core and member
}

// sent counts what memberlist says it has sent, by all members of this process.
type sent struct {
	metrics.BlackholeSink
	bytes atomic.Int64
}

func (s *sent) IncrCounterWithLabels(key []string, value float32, _ []metrics.Label) {
	if n := len(key); n > 0 && key[n-1] == "sent" {
		s.bytes.Add(int64(value))
	}
}

func (s *sent) IncrCounter(key []string, value float32) { s.IncrCounterWithLabels(key, value, nil) }

// All plays members in this process for a time after they have met, or have had a time to.
func All(members int, within, last time.Duration) (a AllToAll, err error) {
	c := metrics.DefaultConfig("scale")
	c.EnableHostname, c.EnableRuntimeMetrics = false, false
	counter := &sent{}
	if _, err := metrics.NewGlobal(c, counter); err != nil {
		return a, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	began, first := time.Now(), ""
	var all []*roster.Roster
	for i := range members {
		region, _ := place(i)
		o := roster.Options{Self: roster.Life{Name: mixerName(i), Site: region}, Listen: "127.0.0.1:0", Group: "scale"}
		if first != "" {
			o.Join = []string{first}
		}
		r, err := roster.Start(o)
		if err != nil {
			return a, err
		}
		if first == "" {
			first = r.Address()
		}
		all = append(all, r)
		wg.Go(func() { r.Run(ctx) })
	}
	a.Members = members
	for a.Known < 0.999 && a.Settled < within {
		time.Sleep(50 * time.Millisecond)
		a.Known, a.Settled = known(all), time.Since(began)
	}
	cpu, bytes, from := spentHere(), counter.bytes.Load(), time.Now()
	time.Sleep(last)
	seconds := time.Since(from).Seconds()
	a.Bytes = float64(counter.bytes.Load()-bytes) / seconds / float64(members)
	a.Known = known(all)
	a.CPU = (spentHere() - cpu).Seconds() / seconds / float64(members)
	return a, nil
}

// known gives, of all that members could know of each other, how much they hold to be here.
func known(all []*roster.Roster) float64 {
	here := 0
	for _, r := range all {
		for _, m := range r.Members() {
			if m.State == roster.Here {
				here++
			}
		}
	}
	return float64(here) / float64(len(all)*len(all))
}

// spentHere is this process's processor time.
func spentHere() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
