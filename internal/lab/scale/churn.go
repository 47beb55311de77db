package scale

import (
	"context"
	"math/rand"
	"sync"
	"time"
)

// The plan's pace: 9,100 of 6,300 mixers are restarted or replaced a day, and 120 machines fail.
const (
	restartsADay = 9100
	failuresADay = 120
	changesADay  = 4900
)

// churn stops single mixers and starts them again a second or two later, at the pace of the plan times a factor, until its end is
// called. One in ten ends by a crash: in the plan it is one in 76, which a short run would hardly see.
func (r *Rig) churn(factor float64) (end func() int) {
	ctx, stop := context.WithCancel(context.Background())
	rng := rand.New(rand.NewSource(r.rng.Int63()))
	mean := time.Duration(float64(24*time.Hour) / (restartsADay * factor))
	var wg sync.WaitGroup
	n := 0
	wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(rng.ExpFloat64() * float64(mean))):
			}
			i, away := rng.Intn(r.Mixers), time.Second+time.Duration(rng.Int63n(int64(time.Second)))
			if r.set(i, false, rng.Intn(10) == 0) {
				n++
				wg.Go(func() {
					time.Sleep(away)
					r.set(i, true, false)
				})
			}
		}
	})
	return func() int {
		stop()
		wg.Wait()
		return n
	}
}

// set starts or ends one mixer, and tells whether it was otherwise.
func (r *Rig) set(i int, runs, crash bool) bool {
	r.mu.Lock()
	was := r.runs[i]
	r.runs[i] = runs
	r.mu.Unlock()
	if was == runs {
		return false
	}
	o := order{Do: "end", Mixers: []int{i}, Crash: crash}
	if runs {
		o.Do = "start"
	}
	_, err := r.herds[r.herdOf(i)].ask(o)
	return err == nil
}
