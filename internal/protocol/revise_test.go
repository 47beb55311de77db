package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"pgregory.net/rapid"

	"nettlefold/internal/charter"
)

// configWithTenants returns the example configuration with two tenants.
func configWithTenants(t testing.TB) Config {
	t.Helper()
	c, err := ReadConfig(exampleConfig(t, `"NInstances":1`,
		`"NInstances":1,"OverShareWorth":0.1,`+tenantSettings("0.4", "b", "5")))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A document changes each setting that may change at run time, with rows written as an array or as an object,
// and nothing else.
func TestOverlay(t *testing.T) {
	for _, f := range []struct {
		document string
		change   func(*Config)
	}{
		{`{}`, func(*Config) {}},
		{`{"NInstances":1.0,"Profiles":[{"Name":"all-parts","AimMs":500},{}],"FamilyInfo":{"CompleteFrom":[1,0.50]}}`,
			func(*Config) {}},
		{`{"Profiles":{},"FamilyInfo":{"LeastShare":{}},"Tenants":{"1":{}}}`, func(*Config) {}},
		{`{"Profiles":{"1":{"AimMs":300}}}`, func(c *Config) { c.Mixer.Tariffs[1].Expected = 300e6 }},
		{`{"Profiles":[{},{"AimMs":300.5}]}`, func(c *Config) { c.Mixer.Tariffs[1].Expected = 300.5e6 }},
		{`{"Profiles":{"1":{"AimMs":[300]}}}`, func(c *Config) { c.Mixer.Tariffs[1].Expected = 300e6 }}, // as in the initial settings
		{`{"Profiles.1.AimMs":300}`, func(c *Config) { c.Mixer.Tariffs[1].Expected = 300e6 }},
		{`{"Profiles":{"0":{"DeadlineMs":900,"KeyTtlMs":7}}}`, func(c *Config) {
			c.Mixer.Tariffs[0].Patience, c.Mixer.Tariffs[0].RepeatFor = 900e6, 7e6
		}},
		{`{"FamilyInfo":{"CompleteFrom":[1.0,0.8]}}`, func(c *Config) { c.Mixer.Tariffs[1].CompleteFrom = 0.8 }},
		{`{"FamilyInfo":{"CompleteFrom":{"0":0.9},"LeastShare":[0.9,0.4]}}`, func(c *Config) {
			c.Mixer.Tariffs[0].CompleteFrom, c.Mixer.Tariffs[0].LeastShare, c.Mixer.Tariffs[1].LeastShare = 0.9, 0.9, 0.4
		}},
		{`{"FamilyInfo":{"LeastShare":{"1":0.25},"ClassPartial":{"1":0.5}}}`, func(c *Config) {
			c.Mixer.Tariffs[1].LeastShare, c.Mixer.Tariffs[1].Partial = 0.25, 0.5
		}},
		{`{"OverShareWorth":0.7}`, func(c *Config) { c.Mixer.OverWorth = 0.7 }},
		{`{"Tenants":{"0":{"AllowancePerS":0,"Share":0.5},"1":{"Share":0.5}}}`, func(c *Config) { c.Mixer.Allowances[0] = 0 }},
		{`{"Tenants":[{},{"AllowancePerS":25}]}`, func(c *Config) { c.Mixer.Allowances[1] = 25 }},
		{`{"PolicyLimits":{"MaxRetryAfterMs":0,"MaxOpen":201,"MaxAttempts":3}}`, func(c *Config) {
			c.Mixer.MaxAdvice, c.Limits.MaxOpenRequests = 0, 201
		}},
	} {
		want := configWithTenants(t)
		f.change(&want)
		got, err := configWithTenants(t).Overlay([]byte(f.document))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: error %v\ngot  %+v\nwant %+v", f.document, err, got, want)
		}
	}
}

// Each document applies to the initial settings, never to the result of an earlier document.
func TestOverlayIsNotCumulative(t *testing.T) {
	c := configWithTenants(t)
	first, err := c.Overlay([]byte(`{"Profiles":{"0":{"AimMs":300}},"OverShareWorth":1}`))
	if err != nil || first.Mixer.OverWorth != 1 {
		t.Fatal(err)
	}
	second, err := first.Overlay([]byte(`{"Profiles":{"1":{"AimMs":200}}}`))
	if err != nil || second.Mixer.Tariffs[0].Expected != 500e6 ||
		second.Mixer.Tariffs[1].Expected != 200e6 || second.Mixer.OverWorth != 0.1 {
		t.Errorf("second document: got %+v, error %v, want only the aim of tariff 1 changed, to 200 ms",
			second.Mixer, err)
	}
	if back, err := second.Overlay([]byte(`{}`)); err != nil || !reflect.DeepEqual(back, c) ||
		!reflect.DeepEqual(c, configWithTenants(t)) {
		t.Errorf("empty document: got %+v, error %v, want the initial configuration", back, err)
	}
	if names := second.ChangedKeys(configWithTenants(t)); len(names) > 0 {
		t.Errorf("ChangedKeys after an overlay: got %v, want none", names)
	}
}

// An invalid document is rejected with path and value, of several errors the first by path, and leaves the
// configuration unchanged.
func TestOverlayErrors(t *testing.T) {
	for _, f := range []struct{ document, path, value string }{
		{``, "(document)", "not JSON: unexpected end of JSON input"},
		{`{"Profiles":`, "(document)", "not JSON: unexpected end of JSON input"},
		{`{} {}`, "(document)", "not JSON: invalid character '{' after top-level value"},
		{`[]`, "(document)", "not an object: []"},
		{`null`, "(document)", "not an object: null"},
		{"{\"x\":\"" + strings.Repeat(" ", 32<<10) + "\"}", "(document)", "32776 bytes, at most 32768"},
		{`{"a":` + strings.Repeat(`[`, 11000) + strings.Repeat(`]`, 11000) + `}`, "(document)", "not JSON: invalid character '[' exceeded max depth"},
		{`{"OverShareWorth":0.5,"OverShareWorth":0.5}`, "OverShareWorth", "told twice"},
		{`{"Profiles":{"0":{"AimMs":300}},"Profiles":{"0":{"AimMs":300}}}`, "Profiles", "told twice"},
		{`{"Profiles":[{},{"AimMs":300,"AimMs":300}]}`, "Profiles.1.AimMs", "told twice"},
		{`{"Profiles.0.AimMs":300,"Profiles":{"0":{"AimMs":300}}}`, "Profiles.0.AimMs", "told twice"},
		{`{"FamilyInfo.LeastShare":[1,0.4],"FamilyInfo":{"LeastShare":{"1":0.4}}}`, "FamilyInfo.LeastShare.1", "told twice"},
		{`{"NInstances":2}`, "NInstances", "2"},
		{`{"Locality":null}`, "Locality", "-"},
		{`{"PolicyLimits":{"MayDuplicate":false}}`, "PolicyLimits.MayDuplicate", "false"},
		{`{"Profiles":{"1":{"Effect":"fragile"}}}`, "Profiles.1.Effect", "fragile"},
		{`{"Profiles":[{"Name":"any-half"},{}]}`, "Profiles.0.Name", "any-half"},
		{`{"FamilyInfo":{"FetchParts":[0,3]}}`, "FamilyInfo.FetchParts", "0,3"},
		{`{"Guarantees":{"ColdMs":1}}`, "Guarantees.ColdMs", "1"},
		{`{"Colour":"red"}`, "Colour", "red"},
		{`{"Colour":{}}`, "Colour", "{}"},
		{`{"":1}`, "", "1"},
		{`{"Profiles":{"0":{"Colour":{"red":1}}}}`, "Profiles.0.Colour.red", "1"},
		{`{"profiles":{"0":{"AimMs":300}}}`, "profiles.0.AimMs", "300"},
		{`{"Profiles":{"2":{"AimMs":300}}}`, "Profiles.2.AimMs", "300"},
		{`{"Profiles":{"2":{}}}`, "Profiles.2", "{}"},
		{`{"Profiles":{"01":{"AimMs":300}}}`, "Profiles.01.AimMs", "300"},
		{`{"Profiles":{"-1":{"AimMs":300}}}`, "Profiles.-1.AimMs", "300"},
		{`{"Profiles":[{},{},{"AimMs":300}]}`, "Profiles.2.AimMs", "300"},
		{`{"Profiles":[{},{},{}]}`, "Profiles.2", "{}"},
		{`{"Profiles":[{"AimMs":300}]}`, "Profiles.count", "1"},
		{`{"Profiles":[]}`, "Profiles.count", "0"},
		{`{"Profiles":7}`, "Profiles", "7"},
		{`{"Profiles":{"0":7}}`, "Profiles.0", "7"},
		{`{"FamilyInfo":{"CompleteFrom":[0.9]}}`, "FamilyInfo.CompleteFrom", "0.9"},
		{`{"FamilyInfo":{"CompleteFrom":[1,0.5,0.5]}}`, "FamilyInfo.CompleteFrom", "1,0.5,0.5"},
		{`{"FamilyInfo":{"CompleteFrom":0.9}}`, "FamilyInfo.CompleteFrom", "0.9"},
		{`{"FamilyInfo":{"CompleteFrom":{"2":0.9}}}`, "FamilyInfo.CompleteFrom.2", "0.9"},
		{`{"FamilyInfo":{"LeastShare":[1,null]}}`, "FamilyInfo.LeastShare.1", "-"},
		{`{"Tenants":{"2":{"AllowancePerS":1}}}`, "Tenants.2.AllowancePerS", "1"},
		{`{"Tenants":{"1":{"Name":"c"}}}`, "Tenants.1.Name", "c"},
		{`{"Profiles":{"1":{"AimMs":0}}}`, "Profiles.1.AimMs", "0"},
		{`{"Profiles":{"1":{"AimMs":-3}}}`, "Profiles.1.AimMs", "-3"},
		{`{"Profiles":{"1":{"AimMs":1e13}}}`, "Profiles.1.AimMs", "1e13"},
		{`{"Profiles":{"1":{"AimMs":1e999}}}`, "Profiles.1.AimMs", "1e999"},
		{`{"Profiles":{"1":{"AimMs":"300"}}}`, "Profiles.1.AimMs", "300"},
		{`{"Profiles":{"1":{"AimMs":null}}}`, "Profiles.1.AimMs", "-"},
		{`{"Profiles":{"1":{"AimMs":true}}}`, "Profiles.1.AimMs", "true"},
		{`{"Profiles":{"1":{"DeadlineMs":0}}}`, "Profiles.1.DeadlineMs", "0"},
		{`{"Profiles":{"1":{"DeadlineMs":1000.01}}}`, "Profiles.1.DeadlineMs", "1000.01"},
		{`{"Profiles":{"1":{"KeyTtlMs":-1}}}`, "Profiles.1.KeyTtlMs", "-1"},
		{`{"FamilyInfo":{"CompleteFrom":{"1":1.5}}}`, "FamilyInfo.CompleteFrom.1", "1.5"},
		{`{"FamilyInfo":{"LeastShare":{"1":-0.5}}}`, "FamilyInfo.LeastShare.1", "-0.5"},
		{`{"FamilyInfo":{"ClassPartial":{"0":2}}}`, "FamilyInfo.ClassPartial.0", "2"},
		{`{"FamilyInfo":{"LeastShare":{"1":0.6}}}`, "FamilyInfo.LeastShare.1", "0.6"},
		{`{"FamilyInfo":{"CompleteFrom":{"1":0.4}}}`, "FamilyInfo.CompleteFrom.1", "0.4"},
		{`{"FamilyInfo":{"CompleteFrom":[1,0.7],"LeastShare":[1,0.8]}}`, "FamilyInfo.LeastShare.1", "0.8"},
		{`{"OverShareWorth":1.5}`, "OverShareWorth", "1.5"},
		{`{"Tenants":{"1":{"Share":0.5}}}`, "Tenants.1.Share", "0.5"},
		{`{"Tenants":{"0":{"Share":0.1},"1":{"Share":1.5}}}`, "Tenants.1.Share", "1.5"},
		{`{"Tenants":{"1":{"AllowancePerS":-1}}}`, "Tenants.1.AllowancePerS", "-1"},
		{`{"PolicyLimits":{"MaxRetryAfterMs":-1}}`, "PolicyLimits.MaxRetryAfterMs", "-1"},
		{`{"PolicyLimits":{"MaxOpen":0}}`, "PolicyLimits.MaxOpen", "0"},
		{`{"PolicyLimits":{"MaxOpen":20.5}}`, "PolicyLimits.MaxOpen", "20.5"},
		{`{"PolicyLimits":{"MaxOpen":0},"Zone":"x","NInstances":9,"Profiles":{"0":{"AimMs":-1}}}`, "NInstances", "9"},
		{`{"Profiles":{"10":{"AimMs":1},"9":{"AimMs":2}}}`, "Profiles.9.AimMs", "2"},
		{`{"10":1,"1a":1,"2":1}`, "2", "1"},
		{`{"` + strings.Repeat("é", 60) + `":"` + strings.Repeat("é", 60) + `"}`, strings.Repeat("é", 40), strings.Repeat("é", 40)},
	} {
		c := configWithTenants(t)
		got, err := c.Overlay([]byte(f.document))
		want := charter.SettingError{Key: f.path, Value: f.value}
		if settingErr := (*charter.SettingError)(nil); !errors.As(err, &settingErr) || *settingErr != want {
			t.Errorf("%.80s: got error %v, want %v", f.document, err, &want)
		}
		if !reflect.DeepEqual(got, configWithTenants(t)) {
			t.Errorf("%.80s: got a changed configuration with the error, want it unchanged", f.document)
		}
	}
}

// drawDocument draws the value at a path of a document: mostly a valid one, sometimes an arbitrary one.
func drawDocument(t *rapid.T, path string, depth int) string {
	values := []string{"0", "1", "0.5", "1.0", "500.0", "300", "999", "1000.0", "2", "-1", "1e400", "1e-400", "null", "true", `"x"`, `"1"`,
		"[]", "{}", "[1,0.5]", "[0.2,0.1]", "[{},{}]", "[[1],{}]", `[{"AimMs":20},{}]`, "[{}]", "[1,null]"}
	keys := map[string][]string{
		"":           {"Profiles", "FamilyInfo", "Tenants", "PolicyLimits", "OverShareWorth"},
		"Profiles":   {"0", "1"},
		"Tenants":    {"0", "1"},
		"FamilyInfo": {"CompleteFrom", "LeastShare", "ClassPartial"},
		"Profiles.#": {"AimMs", "DeadlineMs", "KeyTtlMs"}, "Tenants.#": {"Share", "AllowancePerS"},
		"PolicyLimits":            {"MaxRetryAfterMs", "MaxOpen"},
		"FamilyInfo.CompleteFrom": {"0", "1"}, "FamilyInfo.LeastShare": {"0", "1"}, "FamilyInfo.ClassPartial": {"0", "1"},
	}[path]
	odd := rapid.IntRange(0, 30).Draw(t, "odd")
	if keys == nil || depth > 4 || odd == 0 && depth > 0 {
		if odd > 3 {
			return rapid.SampledFrom([]string{"0", "1", "0.5", "1.0", "500.0", "300", "999"}).Draw(t, "number")
		}
		return rapid.SampledFrom(values).Draw(t, "value")
	}
	var members []string
	for range rapid.IntRange(0, 3).Draw(t, "members") {
		key := rapid.SampledFrom(keys).Draw(t, "key")
		next := strings.TrimPrefix(path+"."+key, ".")
		if (path == "Profiles" || path == "Tenants") && len(key) == 1 {
			next = path + ".#"
		}
		value := drawDocument(t, next, depth+1)
		if rapid.IntRange(0, 30).Draw(t, "strange") == 0 {
			key = rapid.SampledFrom([]string{"", "2", "01", "count", "Name", "Profiles.0.AimMs", "NInstances", "\\ud800"}).Draw(t, "key")
		}
		members = append(members, `"`+key+`":`+value)
	}
	return "{" + strings.Join(members, ",") + "}"
}

// A random document either changes only what it may, or is rejected with path and value. The outcome is
// deterministic.
func TestOverlayRandomDocuments(t *testing.T) {
	start := configWithTenants(t)
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t, "", 0)
		if cut := rapid.IntRange(0, 40*len(document)).Draw(t, "cut"); cut < len(document) {
			document = document[:cut] + string(rapid.Byte().Draw(t, "byte")) + document[cut:]
		}
		if checkOverlay(t, start, []byte(document)) {
			accepted++
		} else {
			rejected++
		}
	})
	if accepted == 0 || rejected == 0 {
		t.Errorf("got %d documents accepted and %d rejected, want some of each", accepted, rejected)
	}
}

// checkOverlay checks the outcome for one document and reports whether it was accepted.
func checkOverlay(t rapid.TB, start Config, document []byte) bool {
	got, err := start.Overlay(document)
	second, secondErr := start.Overlay(document)
	if !reflect.DeepEqual(got, second) || fmt.Sprint(err) != fmt.Sprint(secondErr) {
		t.Errorf("%s: outcome differs between calls: got error %v, then %v", document, err, secondErr)
	}
	if err != nil {
		settingErr := (*charter.SettingError)(nil)
		if !errors.As(err, &settingErr) || !reflect.DeepEqual(got, start) ||
			len(settingErr.Key) > 80 || len(settingErr.Value) > 80 ||
			!utf8.ValidString(settingErr.Key+settingErr.Value) {
			t.Errorf("%s: got error %v and %+v, want a SettingError of at most 80 bytes each and no change",
				document, err, got)
		}
		return false
	}
	if !json.Valid(document) {
		t.Errorf("%s: accepted, but is not valid JSON", document)
	}
	longest := max(start.Mixer.Tariffs[0].Patience, start.Mixer.Tariffs[1].Patience)
	want := start
	want.Mixer.Tariffs = slices.Clone(start.Mixer.Tariffs)
	for i, g := range got.Mixer.Tariffs {
		w := &want.Mixer.Tariffs[i]
		w.Expected, w.Patience, w.RepeatFor, w.CompleteFrom, w.LeastShare, w.Partial =
			g.Expected, g.Patience, g.RepeatFor, g.CompleteFrom, g.LeastShare, g.Partial
		shares := g.LeastShare >= 0 && g.LeastShare <= g.CompleteFrom && g.CompleteFrom <= 1 && g.Partial >= 0 && g.Partial <= 1
		if !shares || g.Expected <= 0 || g.Patience <= 0 || g.Patience > longest || g.RepeatFor < 0 {
			t.Errorf("%s: accepted invalid tariff %d: %+v", document, i, g)
		}
	}
	want.Mixer.Allowances, want.Mixer.OverWorth = got.Mixer.Allowances, got.Mixer.OverWorth
	want.Mixer.MaxAdvice = got.Mixer.MaxAdvice
	want.Limits.MaxOpenRequests = got.Limits.MaxOpenRequests
	if !reflect.DeepEqual(got, want) || len(got.Mixer.Allowances) != len(start.Mixer.Allowances) ||
		got.Limits.MaxOpenRequests < 1 {
		t.Errorf("%s: changed more than it may:\ngot  %+v\nwant %+v", document, got, want)
	}
	return true
}

func FuzzRevise(f *testing.F) {
	start := configWithTenants(f)
	f.Add([]byte(`{"Profiles":[{},{"AimMs":300}],"FamilyInfo":{"LeastShare":{"1":0.4}},"PolicyLimits":{"MaxOpen":99}}`))
	f.Add([]byte(`{"Tenants":{"0":{"Share":0.5},"1":{"AllowancePerS":3}},"OverShareWorth":0,"Profiles.0.DeadlineMs":900}`))
	f.Add([]byte(`{"NInstances":1,"NInstances":1}`))
	f.Add([]byte("{\"a\xff\":[[[{}]]]}"))
	f.Fuzz(func(t *testing.T, document []byte) { checkOverlay(t, start, document) })
}

// Without shares in the initial settings, an answer is complete with all parts of a lookup, and the least share
// equals the share for completeness, also after a document changes that.
func TestOverlayDefaultShares(t *testing.T) {
	c, err := ReadConfig(exampleConfig(t, `"CompleteFrom":[1.0,0.5],"LeastShare":[1.0,0.5],`, ""))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []struct {
		document        string
		complete, least float64 // of the second tariff
	}{
		{`{}`, 1, 1},
		{`{"FamilyInfo":{"CompleteFrom":{"1":0.5}}}`, 0.5, 0.5},
		{`{"FamilyInfo":{"CompleteFrom":[1,0.5]}}`, 0.5, 0.5},
		{`{"FamilyInfo":{"LeastShare":{"1":0.25}}}`, 1, 0.25},
		{`{"FamilyInfo":{"LeastShare":{"1":0.25},"CompleteFrom":{"1":0.75}}}`, 0.75, 0.25},
		{`{"FamilyInfo":{"LeastShare":{"0":0.5},"CompleteFrom":{"1":0.75}}}`, 0.75, 0.75},
	} {
		got, err := c.Overlay([]byte(f.document))
		if err != nil {
			t.Errorf("%s: %v", f.document, err)
		} else if row := got.Mixer.Tariffs[1]; row.CompleteFrom != f.complete || row.LeastShare != f.least {
			t.Errorf("%s: got complete from %v, least share %v, want %v and %v",
				f.document, row.CompleteFrom, row.LeastShare, f.complete, f.least)
		}
	}
	_, err = c.Overlay([]byte(`{"FamilyInfo":{"LeastShare":{"1":0.6},"CompleteFrom":{"1":0.5}}}`))
	if settingErr := (*charter.SettingError)(nil); !errors.As(err, &settingErr) ||
		*settingErr != (charter.SettingError{Key: "FamilyInfo.LeastShare.1", Value: "0.6"}) {
		t.Errorf("least share above the share for completeness: got error %v, want FamilyInfo.LeastShare.1: 0.6",
			err)
	}
}
