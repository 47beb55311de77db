package wire

import (
	"strings"
	"testing"
)

// start is a batch that starts instance m and gives it a list with one backend.
const start = "mark\t1000\ninit\tm\t7\tNInstances=1\tFamilyInfo.Sets=1\tFamilyInfo.Width=1\tPolicyLimits.MaxAttempts=2\t" +
	"Guarantees.ColdFrom=0.2\tGuarantees.ColdMs=1000\tGuarantees.FallMultiple=2\tGuarantees.FallMs=1000\t" +
	"MembershipMode=pushed\tProfiles.count=1\tProfiles.0.Name=t\tProfiles.0.Effect=retryable\t" +
	"Profiles.0.AimMs=500\tProfiles.0.DeadlineMs=900\tNew.Setting=x\n" +
	"define_list\t0\t1\nrow\t-\t0\tbox\t1\tk\tz\tlive\nannounce\tm\tremembered\t1\t0\neof_batch\n"

// lookup is a batch with a lookup of one part for instance m.
const lookup = "mark\t1010\nreq\tm\tl1\tt\t-\t-\t1900\t-\t4\t-1\t1\t0\nreq\tm\tp1\tt\t-\t-\t1900\t-\t4\t0\t1\t0\neof_batch\n"

// serve returns the replies to an input without the set_timer actions.
func serve(t *testing.T, input string) (string, error) {
	t.Helper()
	var out strings.Builder
	err := Serve(strings.NewReader(input), &out)
	var replies []string
	for line := range strings.Lines(out.String()) {
		if !strings.HasPrefix(line, "set_timer") {
			replies = append(replies, line)
		}
	}
	return strings.Join(replies, ""), err
}

func TestLookup(t *testing.T) {
	got, err := serve(t, start+lookup+"mark\t1100.5\nsettled\tm\tp1\t0\t1\t90.5\t0\tbox\tq:1,new:2\n"+
		"dropped\tm\tl1\nsettled\tm\tp1\t0\t1\t90.5\t0\tbox\t-\neof_batch\n")
	want := "ready\nassign\tm\tp1\tbox\t492\nready\ngather_up\tm\tl1\t1\nready\n"
	if err != nil || got != want {
		t.Errorf("Serve() replies = %q, error = %v, want %q, nil", got, err, want)
	}
}

func TestMalformedInput(t *testing.T) {
	for _, c := range []struct{ input, want string }{
		{"hello\n", "line 1: hello"},
		{"mark\tsoon\n", `line 1: mark: clock: "soon"`},
		{"mark\t1\n", "batch truncated"},
		{"mark\t1\neof_ba", "line 2: input: line truncated"},
		{"mark\t1\nwhat\tm\neof_batch\n", `line 2: what: unknown message: "what"`},
		{"mark\t1\ntick_due\tm\t1\neof_batch\n", `line 2: tick_due: unknown Mixer: "m"`},
		{"mark\t1\ndefine_list\t0\t2\nrow\t-\t0\tb\t1\tk\tz\tlive\neof_batch\n", "line 4: eof_batch: list ends early"},
		{"mark\t1\ndefine_list\t0\t1\nrow\t-\t0\tb\t1\tk\tz\twell\n", `line 3: row: Status: "well"`},
		{strings.Replace(start, "Profiles.0.AimMs=500\t", "", 1), `line 2: init: Profiles.0.AimMs: "(missing)"`},
		{strings.Replace(start, "ColdFrom=0.2", "ColdFrom=2", 1), `line 2: init: Guarantees.ColdFrom: "2"`},
		{start + "mark\t1\nreq\tm\tl1\tt\t-\t-\tlater\t-\t4\t-1\t1\t0\n", `line 8: req: NotAfterMs: "later"`},
		{strings.Replace(start, "New.Setting=x", "Tenants.count=1\tTenants.0.Name=a\tTenants.0.Share=1\tTenants.0.AllowancePerS=9", 1) +
			"mark\t1\nreq\tm\tl1\tt\twho\t-\t1900\t-\t4\t-1\t1\t0\n", `line 8: req: Realm: "who"`},
		{strings.Replace(start, "New.Setting=x", "Weights=heavy", 1), `line 2: init: Weights: "heavy"`},
		{start + "mark\t1\nsettled\tm\tp1\t0\t1\t90.5\t0\n", `line 8: settled: Searcher: "(missing)"`},
		{start + "mark\t1\nsettled\tm\tp1\t0\t1\t90.5\t7\tbox\t-\n", `line 8: settled: Result: "7"`},
	} {
		_, err := serve(t, c.input)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("input %q: Serve() error = %v, want one containing %q", c.input, err, c.want)
		}
	}
}

func TestInstanceIsolation(t *testing.T) {
	alone, err := serve(t, start+lookup)
	if err != nil {
		t.Fatal(err)
	}
	second := strings.NewReplacer("\tm\t", "\tn\t").Replace(start)
	together, err := serve(t, start+second+lookup)
	if err != nil || together != "ready\n"+alone {
		t.Errorf("beside another instance: Serve() replies = %q, error = %v, want %q, nil", together, err, "ready\n"+alone)
	}
}

// TestMixerPanic checks that a panic in the mixer, here by an attempt that was never made, is reported as the
// failure of the instance.
func TestMixerPanic(t *testing.T) {
	input := start + lookup + "mark\t1100\nsettled\tm\tp1\t3\t1\t90\t0\tbox\t-\neof_batch\n"
	if got, err := serve(t, input); err != nil || !strings.Contains(got, "give_in\tm\tindex out of range") &&
		!strings.Contains(got, "give_in\tm\truntime error") {
		t.Errorf("Serve() replies = %q, error = %v, want give_in with the panic, nil", got, err)
	}
}
