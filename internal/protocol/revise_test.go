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

// begun gives the example's configuration with two customers.
func begun(t testing.TB) Config {
	t.Helper()
	c, err := ReadConfig(example(t, `"NInstances":1`, `"NInstances":1,"OverShareWorth":0.1,`+customers("0.4", "b", "5")))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Each path that may be changed in flight is, in both ways of writing rows, and nothing else is.
func TestRevisedAsWritten(t *testing.T) {
	for _, f := range []struct {
		document string
		change   func(*Config)
	}{
		{`{}`, func(*Config) {}},
		{`{"NInstances":1.0,"Profiles":[{"Name":"all-parts","AimMs":500},{}],"FamilyInfo":{"CompleteFrom":[1,0.50]}}`,
			func(*Config) {}},
		{`{"Profiles":{},"FamilyInfo":{"LeastShare":{}},"Tenants":{"1":{}}}`, func(*Config) {}},
		{`{"Profiles":{"1":{"AimMs":300}}}`, func(c *Config) { c.Charter.Tariffs[1].Expected = 300e6 }},
		{`{"Profiles":[{},{"AimMs":300.5}]}`, func(c *Config) { c.Charter.Tariffs[1].Expected = 300.5e6 }},
		{`{"Profiles":{"1":{"AimMs":[300]}}}`, func(c *Config) { c.Charter.Tariffs[1].Expected = 300e6 }}, // as the start's reader does
		{`{"Profiles.1.AimMs":300}`, func(c *Config) { c.Charter.Tariffs[1].Expected = 300e6 }},
		{`{"Profiles":{"0":{"DeadlineMs":900,"KeyTtlMs":7}}}`, func(c *Config) {
			c.Charter.Tariffs[0].Patience, c.Charter.Tariffs[0].RepeatFor = 900e6, 7e6
		}},
		{`{"FamilyInfo":{"CompleteFrom":[1.0,0.8]}}`, func(c *Config) { c.Charter.Tariffs[1].CompleteFrom = 0.8 }},
		{`{"FamilyInfo":{"CompleteFrom":{"0":0.9},"LeastShare":[0.9,0.4]}}`, func(c *Config) {
			c.Charter.Tariffs[0].CompleteFrom, c.Charter.Tariffs[0].LeastShare, c.Charter.Tariffs[1].LeastShare = 0.9, 0.9, 0.4
		}},
		{`{"FamilyInfo":{"LeastShare":{"1":0.25},"ClassPartial":{"1":0.5}}}`, func(c *Config) {
			c.Charter.Tariffs[1].LeastShare, c.Charter.Tariffs[1].Partial = 0.25, 0.5
		}},
		{`{"OverShareWorth":0.7}`, func(c *Config) { c.Charter.OverWorth = 0.7 }},
		{`{"Tenants":{"0":{"AllowancePerS":0,"Share":0.5},"1":{"Share":0.5}}}`, func(c *Config) { c.Charter.Allowances[0] = 0 }},
		{`{"Tenants":[{},{"AllowancePerS":25}]}`, func(c *Config) { c.Charter.Allowances[1] = 25 }},
		{`{"PolicyLimits":{"MaxRetryAfterMs":0,"MaxOpen":201,"MaxAttempts":3}}`, func(c *Config) {
			c.Charter.MaxAdvice, c.Limits.MaxOpenRequests = 0, 201
		}},
	} {
		want := begun(t)
		f.change(&want)
		got, err := begun(t).Revise([]byte(f.document))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v\n%+v, want\n%+v", f.document, err, got, want)
		}
	}
}

// Each version is laid over the start, never over the one before.
func TestEachVersionIsWholeByItself(t *testing.T) {
	c := begun(t)
	one, err := c.Revise([]byte(`{"Profiles":{"0":{"AimMs":300}},"OverShareWorth":1}`))
	if err != nil || one.Charter.OverWorth != 1 {
		t.Fatal(err)
	}
	two, err := one.Revise([]byte(`{"Profiles":{"1":{"AimMs":200}}}`))
	if err != nil || two.Charter.Tariffs[0].Expected != 500e6 || two.Charter.Tariffs[1].Expected != 200e6 || two.Charter.OverWorth != 0.1 {
		t.Errorf("%+v, %v", two.Charter, err)
	}
	if back, err := two.Revise([]byte(`{}`)); err != nil || !reflect.DeepEqual(back, c) || !reflect.DeepEqual(c, begun(t)) {
		t.Errorf("back to the start: %+v, %v", back, err)
	}
	if names := two.Differs(begun(t)); len(names) > 0 {
		t.Errorf("a version counts as a change of the configuration's file: %v", names)
	}
}

// What a version may not have is told with path and value, the first by path.
func TestRejectedIsNamed(t *testing.T) {
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
		c := begun(t)
		got, err := c.Revise([]byte(f.document))
		want := charter.SettingError{Key: f.path, Value: f.value}
		if fault := (*charter.SettingError)(nil); !errors.As(err, &fault) || *fault != want {
			t.Errorf("%.80s: %v, want %v", f.document, err, &want)
		}
		if !reflect.DeepEqual(got, begun(t)) {
			t.Errorf("%.80s: rejected, and the configuration is another", f.document)
		}
	}
}

// drawn draws a value of a document: mostly as one may be, else any.
func drawn(t *rapid.T, path string, depth int) string {
	any := []string{"0", "1", "0.5", "1.0", "500.0", "300", "999", "1000.0", "2", "-1", "1e400", "1e-400", "null", "true", `"x"`, `"1"`,
		"[]", "{}", "[1,0.5]", "[0.2,0.1]", "[{},{}]", "[[1],{}]", `[{"AimMs":20},{}]`, "[{}]", "[1,null]"}
	below := map[string][]string{
		"":           {"Profiles", "FamilyInfo", "Tenants", "PolicyLimits", "OverShareWorth"},
		"Profiles":   {"0", "1"},
		"Tenants":    {"0", "1"},
		"FamilyInfo": {"CompleteFrom", "LeastShare", "ClassPartial"},
		"Profiles.#": {"AimMs", "DeadlineMs", "KeyTtlMs"}, "Tenants.#": {"Share", "AllowancePerS"},
		"PolicyLimits":            {"MaxRetryAfterMs", "MaxOpen"},
		"FamilyInfo.CompleteFrom": {"0", "1"}, "FamilyInfo.LeastShare": {"0", "1"}, "FamilyInfo.ClassPartial": {"0", "1"},
	}[path]
	odd := rapid.IntRange(0, 30).Draw(t, "odd")
	if below == nil || depth > 4 || odd == 0 && depth > 0 {
		if odd > 3 {
			return rapid.SampledFrom([]string{"0", "1", "0.5", "1.0", "500.0", "300", "999"}).Draw(t, "number")
		}
		return rapid.SampledFrom(any).Draw(t, "value")
	}
	var members []string
	for range rapid.IntRange(0, 3).Draw(t, "members") {
		key := rapid.SampledFrom(below).Draw(t, "key")
		next := strings.TrimPrefix(path+"."+key, ".")
		if (path == "Profiles" || path == "Tenants") && len(key) == 1 {
			next = path + ".#"
		}
		value := drawn(t, next, depth+1)
		if rapid.IntRange(0, 30).Draw(t, "strange") == 0 {
			key = rapid.SampledFrom([]string{"", "2", "01", "count", "Name", "Profiles.0.AimMs", "NInstances", "\\ud800"}).Draw(t, "key")
		}
		members = append(members, `"`+key+`":`+value)
	}
	return "{" + strings.Join(members, ",") + "}"
}

// Whatever a document is, it is taken with nothing changed but what may be, or refused by path and value, each time the same.
func TestAnyDocument(t *testing.T) {
	start := begun(t)
	taken, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		document := drawn(t, "", 0)
		if cut := rapid.IntRange(0, 40*len(document)).Draw(t, "cut"); cut < len(document) {
			document = document[:cut] + string(rapid.Byte().Draw(t, "byte")) + document[cut:]
		}
		if revised(t, start, []byte(document)) {
			taken++
		} else {
			refused++
		}
	})
	if taken == 0 || refused == 0 {
		t.Errorf("%d documents taken, %d refused", taken, refused)
	}
}

// revised checks one document and tells whether it was taken.
func revised(t rapid.TB, start Config, document []byte) bool {
	got, err := start.Revise(document)
	again, twice := start.Revise(document)
	if !reflect.DeepEqual(got, again) || fmt.Sprint(err) != fmt.Sprint(twice) {
		t.Errorf("%s: another time another outcome: %v, %v", document, err, twice)
	}
	if err != nil {
		fault := (*charter.SettingError)(nil)
		if !errors.As(err, &fault) || !reflect.DeepEqual(got, start) || len(fault.Key) > 80 || len(fault.Value) > 80 ||
			!utf8.ValidString(fault.Key+fault.Value) {
			t.Errorf("%s: refused with %v, as %+v", document, err, got)
		}
		return false
	}
	if !json.Valid(document) {
		t.Errorf("%s: taken, and is not JSON", document)
	}
	longest := max(start.Charter.Tariffs[0].Patience, start.Charter.Tariffs[1].Patience)
	want := start
	want.Charter.Tariffs = slices.Clone(start.Charter.Tariffs)
	for i, g := range got.Charter.Tariffs {
		w := &want.Charter.Tariffs[i]
		w.Expected, w.Patience, w.RepeatFor, w.CompleteFrom, w.LeastShare, w.Partial =
			g.Expected, g.Patience, g.RepeatFor, g.CompleteFrom, g.LeastShare, g.Partial
		shares := g.LeastShare >= 0 && g.LeastShare <= g.CompleteFrom && g.CompleteFrom <= 1 && g.Partial >= 0 && g.Partial <= 1
		if !shares || g.Expected <= 0 || g.Patience <= 0 || g.Patience > longest || g.RepeatFor < 0 {
			t.Errorf("%s: tariff %d is %+v", document, i, g)
		}
	}
	want.Charter.Allowances, want.Charter.OverWorth = got.Charter.Allowances, got.Charter.OverWorth
	want.Charter.MaxAdvice = got.Charter.MaxAdvice
	want.Limits.MaxOpenRequests = got.Limits.MaxOpenRequests
	if !reflect.DeepEqual(got, want) || len(got.Charter.Allowances) != len(start.Charter.Allowances) || got.Limits.MaxOpenRequests < 1 {
		t.Errorf("%s: %+v, of the start %+v", document, got, want)
	}
	return true
}

func FuzzRevise(f *testing.F) {
	start := begun(f)
	f.Add([]byte(`{"Profiles":[{},{"AimMs":300}],"FamilyInfo":{"LeastShare":{"1":0.4}},"PolicyLimits":{"MaxOpen":99}}`))
	f.Add([]byte(`{"Tenants":{"0":{"Share":0.5},"1":{"AllowancePerS":3}},"OverShareWorth":0,"Profiles.0.DeadlineMs":900}`))
	f.Add([]byte(`{"NInstances":1,"NInstances":1}`))
	f.Add([]byte("{\"a\xff\":[[[{}]]]}"))
	f.Fuzz(func(t *testing.T, document []byte) { revised(t, start, document) })
}

// Where the start does not tell shares, all of a tariff's parts make it whole, and the least share is the complete one, also when
// a version changes that.
func TestSharesThatTheStartDoesNotTell(t *testing.T) {
	c, err := ReadConfig(example(t, `"CompleteFrom":[1.0,0.5],"LeastShare":[1.0,0.5],`, ""))
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
		got, err := c.Revise([]byte(f.document))
		if err != nil {
			t.Errorf("%s: %v", f.document, err)
		} else if row := got.Charter.Tariffs[1]; row.CompleteFrom != f.complete || row.LeastShare != f.least {
			t.Errorf("%s: %+v", f.document, row)
		}
	}
	_, err = c.Revise([]byte(`{"FamilyInfo":{"LeastShare":{"1":0.6},"CompleteFrom":{"1":0.5}}}`))
	if fault := (*charter.SettingError)(nil); !errors.As(err, &fault) || *fault != (charter.SettingError{Key: "FamilyInfo.LeastShare.1", Value: "0.6"}) {
		t.Errorf("a least share above the complete one: %v", err)
	}
}
