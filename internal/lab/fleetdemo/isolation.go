package fleetdemo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// askingTenants is how many tenants ask: t1, t2 and t3.
const askingTenants = 3

// isolationStep is a change of the tenants, after which both tenants ask again.
type isolationStep struct {
	what     string
	isolates []string // names of the isolated tenants
	newcomer bool     // a tenant is isolated that never asked
	restart  bool     // all processes are killed and started again
}

var isolationSteps = []isolationStep{
	{what: "nobody is isolated"},
	{what: "asked again"},
	{what: "a newcomer is isolated", newcomer: true},
	{what: "t2 is isolated", isolates: []string{"t2"}, newcomer: true},
	{what: "asked again", isolates: []string{"t2"}, newcomer: true},
	{what: "all processes are killed and started", isolates: []string{"t2"}, newcomer: true, restart: true},
	{what: "nobody is isolated any more"},
	{what: "t2 is isolated again", isolates: []string{"t2"}},
}

// isolationConfiguration is a configuration with the tenants t1, t2 and t3.
func isolationConfiguration(version int, step isolationStep) string {
	isolated := " " + strings.Join(step.isolates, " ") + " "
	var tenants []string
	for i := 1; i <= askingTenants; i++ {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","api_keys":["key-%d"],"priority":1,"isolated":%v}`, i, i, strings.Contains(isolated, fmt.Sprintf(" t%d ", i))))
	}
	if step.newcomer {
		tenants = append(tenants, `{"name":"new","api_keys":["key-9"],"priority":1,"isolated":true}`)
	}
	text := configuration(version, isolationPath(version))
	return text[:strings.Index(text, `"tenants"`)] + `"tenants":[` + strings.Join(tenants, ",") + "]}"
}

// isolationPath is the path of the only route of a configuration. A front serves requests on it only while it has that configuration in
// force, so that no time has to be waited for.
func isolationPath(version int) string { return fmt.Sprintf("/ask-%d/", version) }

// PlayIsolation isolates tenants of a small fleet by new configurations, and writes how many tokens of shared parts the engines read after
// each. It fails if a request used what another tenant's request had made although one of the two was isolated.
func PlayIsolation(program string, out io.Writer) error {
	w, err := newWorld(program, demoSize, demoBounds)
	if err != nil {
		return err
	}
	defer w.close()
	w.engines.log = newRunLog()
	if err := w.startAll(); err != nil {
		return err
	}
	for i, step := range isolationSteps {
		version := i + 1
		if err := w.isolate(version, step); err != nil {
			return err
		}
		read, served, err := w.askAll(version)
		if err != nil {
			return fmt.Errorf("%s: %w", step.what, err)
		}
		fmt.Fprintf(out, "%-38s %3d requests of t1, t2 and t3 served, %6d shared tokens read\n", step.what, served, read)
		if err := w.judgeIsolation(step); err != nil {
			return fmt.Errorf("%s: %w", step.what, err)
		}
	}
	return nil
}

// isolate has the controllers take a step's configuration.
func (w *world) isolate(version int, step isolationStep) error {
	if step.restart {
		if err := w.restartAll(); err != nil {
			return err
		}
	}
	return w.order(http.MethodPut, "/v1/configuration", fmt.Sprint(version-1), isolationConfiguration(version, step))
}

// restartAll kills all processes at once and starts them again.
func (w *world) restartAll() error {
	for _, name := range w.names() {
		w.kill(name)
	}
	for i := range w.size.controllers {
		if err := w.startController(i, false); err != nil {
			return err
		}
	}
	for i := range w.size.fronts {
		if err := w.startFront(i); err != nil {
			return err
		}
	}
	return nil
}

// askAll has each tenant ask about each prompt, one request after the other, the first in turn, under a configuration, and gives the tokens
// of shared parts that were read.
func (w *world) askAll(version int) (read, served int, err error) {
	before := w.tokensRead()
	for prompt := range prompts {
		for turn := range askingTenants {
			tenant := 1 + (prompt+turn)%askingTenants // so that each makes parts that the others find
			id := fmt.Sprintf("%d-%d-%d", version, prompt, tenant)
			if err := await("request "+id, func() bool {
				return w.askAs(fmt.Sprint("key-", tenant), (prompt+tenant)%w.size.fronts, isolationPath(version), id, prompt).outcome == "served"
			}); err != nil {
				return 0, 0, err
			}
			served++
		}
	}
	return w.tokensRead() - before - served*ownTokens, served, nil
}

func (w *world) tokensRead() (read int) {
	for _, e := range w.list {
		e.mu.Lock()
		read += e.read
		e.mu.Unlock()
	}
	return read
}

// judgeIsolation holds the uses since the last call to a step's isolated tenants.
func (w *world) judgeIsolation(step isolationStep) error {
	for _, use := range w.engines.log.takeUses() {
		for _, tenant := range step.isolates {
			if use.User.Tenant == tenant || use.Maker.Tenant == tenant {
				return fmt.Errorf("%s of %s used part %s, which %s of %s made", use.User.Request, use.User.Tenant, use.Part, use.Maker.Request, use.Maker.Tenant)
			}
		}
	}
	return nil
}
