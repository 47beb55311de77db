package fleetdemo

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of a play of configurations. The times are those of the operators' pages.
const (
	configApplyLimit  = 2 * time.Second
	configContact     = 3 * time.Second
	configSkew        = 5 * time.Second
	configRollback    = 250 * time.Millisecond
	configReuseAfter  = 2 * time.Second
	configMergeLimit  = 3 * time.Second
	backendsOfService = 2
	probersOfFront    = 3
	quietAtEnd        = configContact + configApplyLimit
)

// ConfigOptions say what a play of configurations plays.
type ConfigOptions struct {
	Seed                uint64
	Length              time.Duration
	Controllers, Fronts int
	LeastGap            time.Duration // between two configurations; at most twice as long
	Previous            string        // another build of nettlefold, "" for none: each process that starts is of either
	Plain               bool          // only configurations, valid or not, that earlier builds read as this one does
	Keep                bool          // the logs, where something was found
}

// configPlay is a play of configurations that runs.
type configPlay struct {
	options        ConfigOptions
	world          *world
	random         *rand.Rand // of the plan
	operatorClient *http.Client
	backends       []*plainBackend
	start          time.Time
	lag            lagMeter

	mu      sync.Mutex
	record  configRecord
	invalid int // invalid configurations that were answered
}

// PlayConfigurations changes the configuration of a fleet of real processes in every way that its operator may,
// beside troubles drawn from a seed, and fails if clients, backends or operator saw CONFIG broken.
func PlayConfigurations(program string, o ConfigOptions, out io.Writer) error {
	w, err := newWorld(program, size{controllers: o.Controllers, fronts: o.Fronts}, []string{
		"bounds.version_ms=15000", "bounds.lease_ms=1000", "bounds.grace_s=3", fmt.Sprint("bounds.contact_ms=", configContact.Milliseconds()),
		fmt.Sprint("bounds.config_apply_ms=", configApplyLimit.Milliseconds()), fmt.Sprint("bounds.reuse_after_s=", configReuseAfter.Seconds()),
		fmt.Sprint("bounds.merge_ms=", configMergeLimit.Milliseconds()),
	})
	if err != nil {
		return err
	}
	keep := false
	defer func() { w.closeKeeping(keep) }()
	p := &configPlay{
		options: o, world: w, random: rand.New(rand.NewPCG(o.Seed, 0)),
		operatorClient: &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
	p.record.Apply, p.record.Contact, p.record.Skew, p.record.Rollback = configApplyLimit, configContact, configSkew, configRollback
	if o.Previous != "" {
		w.pickProgram = p.drawProgram
	}
	if err := p.run(); err != nil {
		return err
	}
	findings := p.judge()
	p.report(out, findings)
	if len(findings) == 0 {
		return nil
	}
	if keep = o.Keep; keep {
		fmt.Fprintln(out, "logs:", w.dir)
	}
	return fmt.Errorf("seed %d: %d findings, the first: %s", o.Seed, len(findings), findings[0].Text)
}

// drawProgram chooses the build of a process that starts.
func (p *configPlay) drawProgram() string {
	if rand.IntN(2) == 0 {
		return p.options.Previous
	}
	return p.world.program
}

// run plays the whole.
func (p *configPlay) run() error {
	if err := p.startBackends(); err != nil {
		return err
	}
	if err := p.world.startAll(); err != nil {
		return err
	}
	p.start = time.Now()
	operator := &configOperator{play: p, random: rand.New(rand.NewPCG(p.options.Seed, 1)), current: firstModelledConfig()}
	if outcome := operator.sendUntilClear(p.addConfig(firstModelledConfig(), 0)); outcome != outcomeAcknowledged {
		return errors.New("the first configuration was not acknowledged")
	}
	for i := range p.world.size.fronts {
		if err := await("front ready", func() bool { return ready(i) }); err != nil {
			return err
		}
	}
	asking, changing := make(chan struct{}), make(chan struct{})
	var askers, changers sync.WaitGroup
	askers.Go(func() { p.lag.run(asking) })
	askers.Go(func() { p.readAll(asking) })
	for front := range p.world.size.fronts {
		for n := range probersOfFront {
			prober := &configProber{play: p, front: front, number: n, random: rand.New(rand.NewPCG(p.options.Seed, uint64(100+front*probersOfFront+n)))}
			askers.Go(func() { prober.run(asking) })
		}
	}
	changers.Go(func() { operator.run(changing) })
	changers.Go(func() { p.reuseAddresses(changing) })
	changers.Go(func() { p.makeTrouble(changing) })
	time.Sleep(p.options.Length)
	close(changing)
	changers.Wait()
	p.loseAllProcesses()
	time.Sleep(quietAtEnd)
	close(asking)
	askers.Wait()
	return p.readAtEnd()
}

// startBackends starts the backends of all services and puts them on the platform's list.
func (p *configPlay) startBackends() error {
	for _, service := range configServices {
		for range backendsOfService {
			b := newPlainBackend(len(p.backends), service)
			p.backends = append(p.backends, b)
			p.world.closing = append(p.world.closing, b.stop)
			if err := b.start(service); err != nil {
				return err
			}
		}
	}
	p.world.backends = func() (entries []any) {
		for _, b := range p.backends {
			if entry := b.entry(); entry != nil {
				entries = append(entries, entry)
			}
		}
		return entries
	}
	return nil
}

// reuseAddresses gives the address of a backend to one of another service, again and again: the first backend of
// each service takes part, the second always serves.
func (p *configPlay) reuseAddresses(done chan struct{}) {
	for n := 0; ; n++ {
		b := p.backends[n%len(configServices)*backendsOfService]
		select {
		case <-done:
			return
		case <-time.After(configReuseAfter):
		}
		b.stop()
		time.Sleep(configReuseAfter)
		service := configServices[rand.IntN(len(configServices))]
		if err := await("the address of a backend", func() bool { return b.start(service) == nil }); err != nil {
			return
		}
	}
}

// readAtEnd reads the configuration at each controller after everything. It fails if one doesn't answer.
func (p *configPlay) readAtEnd() error {
	for i := range p.options.Controllers {
		if err := await(fmt.Sprintf("controller %d reads the configuration", i+1), func() bool { return p.read(i) != "" }); err != nil {
			return err
		}
	}
	return nil
}

// judge judges the record.
func (p *configPlay) judge() []finding {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Slack = p.lag.slack()
	slices.SortFunc(p.record.Probes, func(x, y probe) int { return x.End.Compare(y.End) })
	return judgeConfigurations(&p.record)
}

// report writes what was played and found.
func (p *configPlay) report(out io.Writer, findings []finding) {
	r := &p.record
	acked, decided := 0, 0
	for i := range r.Sent {
		if !r.Sent[i].Acked.IsZero() {
			acked++
		}
	}
	for i := range r.Probes {
		if r.Probes[i].Answer.decides() {
			decided++
		}
	}
	fmt.Fprintf(out, "seed %d: %d configurations, %d acknowledged, %d invalid ones; %d requests, %d of them decided by a configuration; %d reads; troubles: %d of controllers, %d of fronts; slack %v\n",
		p.options.Seed, len(r.Sent), acked, p.invalid, len(r.Probes), decided, len(r.Reads), len(r.Cores), len(r.Fronts), r.Slack.Round(time.Millisecond))
	if took := r.firstServed(); len(took) > 0 {
		fmt.Fprintf(out, "from the acknowledgement until a front first answered by it: median %v, 90 in 100 %v, the last %v, of %d\n",
			took[len(took)/2].Round(time.Millisecond), took[len(took)*9/10].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), len(took))
	}
	for i, f := range findings {
		if i == tracedFindings {
			fmt.Fprintf(out, "and %d more\n", len(findings)-i)
			break
		}
		fmt.Fprintf(out, "%7.2f s  %s  %s\n", f.At.Sub(p.start).Seconds(), f.Rule, f.Text)
	}
	if len(findings) > 0 {
		fmt.Fprintf(out, "  the last finding at %.2f s: %s\n", findings[len(findings)-1].At.Sub(p.start).Seconds(), findings[len(findings)-1].Text)
		p.reportEvents(out)
	}
}

// reportEvents writes when configurations were sent and acknowledged, and the troubles.
func (p *configPlay) reportEvents(out io.Writer) {
	since := func(at time.Time) float64 { return at.Sub(p.start).Seconds() }
	for i := range p.record.Sent {
		s := &p.record.Sent[i]
		fmt.Fprintf(out, "  configuration %d on %d: sent %.2f s, acknowledged %.2f s, lost %v, %d tenants, %d routes\n",
			s.Config.Version, s.Base, since(s.Sent), since(s.Acked), s.Lost, len(s.Config.Tenants), len(s.Config.Routes))
	}
	for _, t := range p.record.Fronts {
		fmt.Fprintf(out, "  front %d: %s from %.2f to %.2f s\n", t.Number+1, t.Kind, since(t.From), since(t.To))
	}
	for _, t := range p.record.Cores {
		fmt.Fprintf(out, "  controller %d: %s from %.2f to %.2f s\n", t.Number+1, t.Kind, since(t.From), since(t.To))
	}
}

// addConfig records a configuration that is about to be sent, and returns its number in the record.
func (p *configPlay) addConfig(c modelledConfig, base int64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Sent = append(p.record.Sent, sentConfig{Config: c, Text: c.text(), Base: base, Sent: time.Now()})
	return len(p.record.Sent) - 1
}

// config returns a configuration by its number in the record.
func (p *configPlay) config(number int) sentConfig {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.Sent[number]
}

// configOfText returns the configuration with a text.
func (p *configPlay) configOfText(text string) (sent sentConfig, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.record.Sent, func(s sentConfig) bool { return s.Text == text })
	if i < 0 {
		return sentConfig{}, false
	}
	return p.record.Sent[i], true
}

func (p *configPlay) acknowledge(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Sent[number].Acked = time.Now()
}

func (p *configPlay) lose(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Sent[number].Lost = true
}

func (p *configPlay) addProbe(one probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Probes = append(p.record.Probes, one)
}

func (p *configPlay) addInvalid(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Invalid = append(p.record.Invalid, name)
}

func (p *configPlay) countInvalid() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.invalid++
}

func (p *configPlay) addRefused(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Refused = append(p.record.Refused, text)
}
