package scale

import (
	"slices"
	"time"
)

// Scene is a part of a play and what it came to.
type Scene struct {
	Name     string
	Took     time.Duration
	Mixers   int
	Versions int
	Restarts int

	Reached  Spread        // from a change to in force, of the mixers that ran when it was given
	Newcome  Spread        // from a mixer's start to in force
	Accepted time.Duration // until a relay said that a majority holds a change, the longest

	In, Out      float64    // bytes a second and mixer, payload
	Most         float64    // bytes a second of the mixer with the most
	Peak         int64      // bytes of a mixer in its greatest second
	PeakTen      float64    // bytes a second of a mixer in its greatest ten seconds
	Told         [2]float64 // bytes a second that a relay tells mixers and relays: the mean relay's, the most
	MixerCPU     float64    // share of a core and mixer
	RelayCPU     [2]float64 // share of a core: the mean relay's, the most
	MixerMemory  float64    // bytes resident, of a process by its mixers
	RelayMemory  int64      // bytes resident, the most
	RelayFiles   int
	HollowFiles  int
	Goroutines   float64 // a mixer
	RelaySession [2]int  // the least and the most of a relay that runs, at the end
	SessionPeak  int     // the most of a relay at any time
	Others       float64 // cores that were busy with what is not of this play
}

// scene plays a part: do gives how many versions it gave, in order.
func (r *Rig) scene(name string, do func(s *Scene) error) (Scene, error) {
	s := Scene{Name: name}
	r.watch.scene()
	before, err := r.ask(func(int) order { return order{Do: "scene"} })
	if err != nil {
		return s, err
	}
	began, first := time.Now(), len(r.given)
	spent := map[*process]time.Duration{}
	told := map[*process]float64{}
	busy, own := machine(), spentHere()
	for _, k := range r.up() {
		spent[r.relays[k].proc], _, _ = used(r.relays[k].proc.cmd.Process.Pid)
		told[r.relays[k].proc] = r.told(k)
	}
	if err := do(&s); err != nil {
		return s, err
	}
	s.Took = time.Since(began)
	after, err := r.ask(func(int) order { return order{Do: "figures"} })
	if err != nil {
		return s, err
	}
	seconds := s.Took.Seconds()
	var cpu time.Duration
	var resident, peak int64
	for i := range after {
		a, b := after[i].Figures, before[i].Figures
		cpu, resident = cpu+a.CPU-b.CPU, resident+a.Resident
		s.In, s.Out = s.In+float64(a.In-b.In), s.Out+float64(a.Out-b.Out)
		s.Most, peak = max(s.Most, float64(a.Most)/seconds), max(peak, a.Peak)
		s.PeakTen = max(s.PeakTen, float64(a.PeakTen))
		s.HollowFiles = max(s.HollowFiles, a.Files)
		s.Goroutines += float64(a.Goroutines) / float64(r.Mixers)
	}
	n := float64(r.Mixers)
	s.Mixers, s.Peak = r.Mixers, peak
	s.In, s.Out = s.In/seconds/n, s.Out/seconds/n
	s.MixerCPU, s.MixerMemory = cpu.Seconds()/seconds/n, float64(resident)/n
	relays := 0
	for _, k := range r.up() {
		p := r.relays[k].proc
		now, resident, files := used(p.cmd.Process.Pid)
		s.RelayMemory, s.RelayFiles = max(s.RelayMemory, resident), max(s.RelayFiles, files)
		if was, ok := spent[p]; ok {
			share := (now - was).Seconds() / seconds
			s.RelayCPU[0] += share
			s.RelayCPU[1] = max(s.RelayCPU[1], share)
			one := (r.told(k) - told[p]) / seconds
			s.Told = [2]float64{s.Told[0] + one, max(s.Told[1], one)}
			relays++
		}
	}
	ours := cpu + spentHere() - own + time.Duration(s.RelayCPU[0]*float64(s.Took))
	s.Others = max(0, (machine()-busy-ours).Seconds()/seconds)
	s.RelayCPU[0] /= float64(max(relays, 1))
	s.Told[0] /= float64(max(relays, 1))
	s.RelaySession = r.sessions()
	s.SessionPeak = slices.Max(r.watch.scene())
	if err := r.drain(); err != nil {
		return s, err
	}
	for _, g := range r.given[first:] {
		s.Versions++
		s.Accepted = max(s.Accepted, g.told)
		s.Reached.add(r.Book.reached(g))
	}
	s.Newcome = r.Book.begun(began.UnixNano(), began.Add(s.Took).UnixNano(), r.given)
	return s, nil
}

// sessions gives the least and the most of a relay that runs.
func (r *Rig) sessions() (n [2]int) {
	n[0] = r.Mixers
	for _, k := range r.up() {
		if st, err := r.status(k); err == nil {
			n = [2]int{min(n[0], st.Sessions), max(n[1], st.Sessions)}
		}
	}
	return n
}

// paced gives versions in even steps, without waiting for them to be in force, and gives the last.
func (r *Rig) paced(n int, step time.Duration) (last given, err error) {
	began := time.Now()
	for i := 0; i < n && err == nil; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * step)))
		last, err = r.next()
	}
	time.Sleep(time.Until(began.Add(time.Duration(n) * step)))
	return last, err
}

// newest gives the newest version that was given.
func (r *Rig) newest() (newest given) {
	for _, g := range r.given {
		if g.Compare(newest.Stamp) > 0 {
			newest = g
		}
	}
	return newest
}
