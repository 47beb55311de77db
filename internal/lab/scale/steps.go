package scale

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// first gives the first version of all, and then starts all mixers.
func (r *Rig) first(p Plan) error {
	var g given
	err := r.until("the relays take a version", func() (err error) { // where none is known they wait for mixers that know one
		g, err = r.next()
		return err
	})
	if err != nil {
		return err
	}
	if err := r.startAll(); err != nil {
		return err
	}
	if err := r.inForce(g); err != nil || !p.Exact {
		return err
	}
	return r.exact()
}

// anew ends all mixers and starts them at one moment.
func (r *Rig) anew() error {
	if err := r.endAll(); err != nil {
		return err
	}
	began := time.Now()
	if err := r.startAll(); err != nil {
		return err
	}
	err := r.inForce(r.newest())
	time.Sleep(time.Until(began.Add(r.Window + time.Second)))
	return err
}

// exact waits until each relay that runs has just the mixers whose first it is, as those that are away leave it.
func (r *Rig) exact(away ...int) error {
	share := r.shares(away...)
	return r.until("each relay has just its share of the sessions", func() error {
		for _, k := range r.up() {
			if st, err := r.status(k); err != nil || st.Sessions != share[k] {
				return fmt.Errorf("%s has %d, its share is %d (%v)", r.relays[k].Name, st.Sessions, share[k], err)
			}
		}
		return nil
	})
}

// lone is the seat that is killed: that of the region with one relay alone, whose mixers then all go to other regions'.
func (r *Rig) lone() int {
	of := map[string]int{}
	for _, s := range r.relays {
		of[s.Region]++
	}
	for k, s := range r.relays {
		if of[s.Region] == 1 {
			return k
		}
	}
	return len(r.relays) - 1
}

// halfway kills a relay while a version that another was given goes about.
func (r *Rig) halfway(o *Outcome, p Plan) error {
	k := r.lone()
	st, err := r.status(k)
	if err != nil {
		return err
	}
	r.watch.allow(r.shares(), r.shares(k))
	o.HalfwayOnIt = st.Sessions
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		time.Sleep(5 * time.Millisecond)
		r.killRelay(k)
	}()
	r.count++
	g, err := r.give((k+1)%len(r.relays), document(r.count))
	<-killed
	if err != nil {
		return err
	}
	r.halfwayOf = g
	if err := r.inForce(g); err != nil || !p.Exact {
		return err
	}
	return r.exact(k)
}

// again starts the killed relay, gives a version at it as soon as it takes one, and waits until its mixers are back.
func (r *Rig) again(o *Outcome, p Plan) error {
	k, began := r.lone(), time.Now()
	if err := r.startRelay(k); err != nil {
		return err
	}
	var g given
	err := r.until("the new relay takes a version", func() (err error) {
		g, err = r.give(k, document(r.count+1))
		return err
	})
	if err != nil {
		return err
	}
	r.count++
	o.Back = time.Since(began)
	if err := r.inForce(g); err != nil {
		return err
	}
	if !p.Home {
		return nil
	}
	share := r.shares()[k]
	o.HomeAll = share
	for end := began.Add(14*r.Window + 5*time.Second); ; time.Sleep(100 * time.Millisecond) {
		st, err := r.status(k)
		if err != nil {
			return err
		}
		if o.HomeOf, o.Home = st.Sessions, time.Since(began); st.Sessions >= share-share/100 || time.Now().After(end) {
			return nil
		}
	}
}

// halt halts a relay by SIGSTOP, as a machine that is gone without a word: its connections stay open and silent.
func (r *Rig) halt(o *Outcome) error {
	k := 0
	st, err := r.status(k)
	if err != nil {
		return err
	}
	r.watch.allow(r.shares(), r.shares(r.lone()), r.shares(k), r.shares(k, r.lone()))
	o.HaltedOnIt = st.Sessions
	p := r.relays[k].proc.cmd.Process
	p.Signal(syscall.SIGSTOP)
	err = r.until("it is halted", func() error { return halted(p.Pid) })
	if err == nil {
		r.count++
		r.haltedOf, err = r.give((k+1)%len(r.relays), document(r.count))
	}
	if err == nil {
		err = r.inForce(r.haltedOf)
	}
	p.Signal(syscall.SIGCONT)
	if err != nil {
		return err
	}
	return r.met() // who slept takes no version before it is
}

// bad gives a version that no mixer takes: a deadline longer than that of the start, which a relay does not know. Before it
// a document that is none, which the relay itself refuses.
func (r *Rig) bad(o *Outcome) error {
	_, err := r.give(0, []byte(`["no object"]`))
	var refused *refusedError
	if !errors.As(err, &refused) || refused.code != http.StatusBadRequest {
		return fmt.Errorf("a relay took what is no object: %v", err)
	}
	o.AtRelay = refused.body
	g, err := r.give(0, badDocument)
	if err != nil {
		return err
	}
	r.badOf = g
	r.given = r.given[:len(r.given)-1] // it is to be in force nowhere
	err = r.until("all mixers have rejected the bad version", func() error {
		running, _, rejected, err := r.counted(g.Stamp)
		if err == nil && rejected < running {
			err = fmt.Errorf("%d of %d have", rejected, running)
		}
		return err
	})
	if err != nil {
		return err
	}
	all, err := r.ask(func(int) order { return order{Do: "count", Version: g.Stamp} })
	if err != nil {
		return err
	}
	o.Element, o.Value = all[0].Element, all[0].Value
	running, there, _, err := r.counted(r.newest().Stamp)
	if err != nil {
		return err
	}
	o.rule(there == running, "after a bad version the newest good one stays in force: at %d of %d", there, running)
	if err := r.startAmong(o); err != nil {
		return err
	}
	next, err := r.next()
	if err != nil {
		return err
	}
	return r.inForce(next)
}

// startAmong starts some mixers anew while a bad version is the newest, and counts which of them get to have the last good one.
func (r *Rig) startAmong(o *Outcome) error {
	good := r.newest()
	o.Newcomers = min(20, r.Mixers/10)
	for i := range o.Newcomers {
		r.set(i, false, false)
		r.set(i, true, false)
	}
	time.Sleep(r.Window + time.Second)
	running, there, _, err := r.counted(good.Stamp)
	o.NewcomersGood = o.Newcomers - (running - there)
	return err
}

// largest gives a document of the greatest size.
func (r *Rig) largest(o *Outcome) error {
	r.count++
	raw := document(r.count)
	digits := strings.Repeat("0", (32<<10-len(raw))/customers)
	raw = bytes.ReplaceAll(raw, []byte(`"Share":0.05`), []byte(`"Share":0.05`+digits))
	o.LargeBytes = len(raw)
	g, err := r.give(0, raw)
	if err != nil {
		return err
	}
	r.largeOf = g
	return r.inForce(g)
}

// lost kills all relays at once and starts them again: no relay holds a version, and all mixers do.
func (r *Rig) lost(o *Outcome) error {
	began, most := time.Now(), r.shares()
	for k := range most {
		most[k] = r.Mixers // some relays are there before others
	}
	r.watch.allow(most)
	var wg sync.WaitGroup
	for _, k := range r.up() {
		wg.Go(func() { r.killRelay(k) })
	}
	wg.Wait()
	for k := range r.relays {
		if err := r.startRelay(k); err != nil {
			return err
		}
	}
	if err := r.met(); err != nil {
		return err
	}
	err := r.until("each mixer follows a relay", func() error {
		all := 0
		for _, k := range r.up() {
			if st, err := r.status(k); err == nil {
				all += st.Sessions
			}
		}
		if all < r.Mixers {
			return fmt.Errorf("%d of %d do", all, r.Mixers)
		}
		return nil
	})
	if err != nil {
		return err
	}
	o.Lost = time.Since(began)
	err = r.until("the relays take a version", func() (err error) {
		r.lostOf, err = r.next()
		return err
	})
	if err != nil {
		return err
	}
	return r.inForce(r.lostOf)
}
