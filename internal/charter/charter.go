// Package charter reads the settings a mixer is given, from the bench's wire or from a real configuration, into
// the module's Charter and the Limits of the real mixer.
package charter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"nettlefold/mixer"
)

// Terms are settings as the wire writes them, a value for each path.
type Settings map[string]string

// Fault is a setting that is missing or out of range.
type SettingError struct{ Key, Value string }

func (f *SettingError) Error() string { return fmt.Sprintf("setting %s: %q", f.Key, f.Value) }

// Pairs reads settings written as path=value.
func ParsePairs(pairs []string) (Settings, error) {
	t := Settings{}
	for _, p := range pairs {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return nil, &SettingError{"setting without a value", p[:min(len(p), 80)]}
		}
		t[k] = v
	}
	return t, nil
}

// Nested reads settings written as one JSON object.
func ParseJSON(raw []byte) (Settings, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	t := Settings{}
	for k, v := range all {
		t.flatten(k, v)
	}
	return t, nil
}

// flatten writes one value the way the wire does: objects by their paths, lists of objects by number, lists of
// plain values in one.
func (t Settings) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, w := range v {
			t.flatten(path+"."+k, w)
		}
	case []any:
		plain := make([]string, len(v))
		for i, w := range v {
			if _, ok := w.(map[string]any); ok {
				t[path+".count"] = strconv.Itoa(len(v))
				t.flatten(path+"."+strconv.Itoa(i), w)
				continue
			}
			plain[i] = strings.NewReplacer(" ", "_", ",", "_").Replace(formatScalar(w))
		}
		t[path] = strings.Join(plain, ",")
	default:
		t[path] = formatScalar(v)
	}
}

// text writes one plain value.
func formatScalar(v any) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v)
}

// Nanos turns milliseconds into nanoseconds, by way of whole microseconds, which is what the clock counts.
func MillisToNanos(ms float64) int64 {
	if ms < 0 {
		return int64(ms*1000-0.5) * 1000
	}
	return int64(ms*1000+0.5) * 1000
}

// reader reads values and keeps the first fault.
type settingReader struct {
	settings   Settings
	firstErr *SettingError
}

func (s *settingReader) err() error {
	if s.firstErr == nil {
		return nil
	}
	return s.firstErr
}

func (s *settingReader) reject(key, value string) {
	if s.firstErr == nil {
		s.firstErr = &SettingError{key, value}
	}
}

// number reads v, the value of key or one item of it, within lo and hi.
func (s *settingReader) parseNumber(key, v string, lo, hi float64) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= lo && x <= hi) {
		s.reject(key, v)
		return 0
	}
	return x
}

// float reads a number within lo and hi; with need false an absent one is zero.
func (s *settingReader) float(key string, need bool, lo, hi float64) float64 {
	v, ok := s.settings[key]
	if !ok || v == "-" || v == "" {
		if need {
			s.reject(key, "(missing)")
		}
		return 0
	}
	return s.parseNumber(key, v, lo, hi)
}

func (s *settingReader) nanos(key string, need bool) int64 { return MillisToNanos(s.float(key, need, 0, 1e12)) }

func (s *settingReader) integer(key string, need bool, lo int) int {
	x := s.float(key, need, float64(lo), 1e9)
	if x != float64(int(x)) {
		s.reject(key, s.settings[key])
	}
	return int(x)
}

func (s *settingReader) boolean(key string) bool {
	switch v := s.settings[key]; v {
	case "true", "1", "True":
		return true
	case "", "-", "false", "0", "False":
	default:
		s.reject(key, v)
	}
	return false
}

// column reads item i of a list of plain values; where the whole key is absent, it is def.
func (s *settingReader) listItem(key string, i int, def, lo, hi float64) float64 {
	v, ok := s.settings[key]
	if !ok || v == "" || v == "-" {
		return def
	}
	items := strings.Split(v, ",")
	if i >= len(items) {
		s.reject(key, v)
		return def
	}
	return s.parseNumber(key, items[i], lo, hi)
}

// mostShares is what the customers' shares may add up to: all, and what rounding adds.
const maxShareSum = 1 + 1e-3

// customers reads the allowances, and checks what else is told of customers.
func (s *settingReader) tenantAllowances() (allowances []float64) {
	if s.settings["Tenants.count"] == "" {
		return nil
	}
	names, shares := map[string]bool{}, 0.0
	for i := range s.integer("Tenants.count", true, 0) {
		at := "Tenants." + strconv.Itoa(i) + "."
		name := s.settings[at+"Name"]
		if name == "" || name == "-" || names[name] { // missing, or told twice
			s.reject(at+"Name", name)
		}
		names[name] = true
		if shares += s.float(at+"Share", true, 0, 1); shares > maxShareSum {
			s.reject(at+"Share", s.settings[at+"Share"])
		}
		allowances = append(allowances, s.float(at+"AllowancePerS", true, 0, 1e9))
		if s.firstErr != nil {
			return nil
		}
	}
	return allowances
}

// Customers gives the rows of the customers by name, from 1 on, as many as the charter of the same terms has allowances.
func (t Settings) TenantRows(c mixer.Charter) map[string]int {
	rows := map[string]int{}
	for i := range c.Allowances {
		rows[t["Tenants."+strconv.Itoa(i)+".Name"]] = i + 1
	}
	return rows
}

// Charter gives what the module is told, and the rows of its tariffs by name.
func (t Settings) MixerConfig() (mixer.Charter, map[string]int, error) {
	s := &settingReader{settings: t}
	c := mixer.Charter{
		Zone:         s.settings["Locality"],
		Mixers:       s.integer("NInstances", true, 1),
		Cells:        s.integer("FamilyInfo.Sets", true, 1),
		Reach:        s.integer("FamilyInfo.Width", true, 1),
		PerCall:      max(1, s.integer("FamilyInfo.PerCall", false, 0)),
		AskWithin:    s.nanos("Guarantees.AskWithinMs", false),
		MaxForwards:  s.integer("PolicyLimits.MaxAttempts", true, 1),
		MayCopy:      s.boolean("PolicyLimits.MayDuplicate"),
		MayCancel:    s.boolean("PolicyLimits.Cancel"),
		MayAdvise:    s.boolean("PolicyLimits.RetryAfter"),
		MaxAdvice:    s.nanos("PolicyLimits.MaxRetryAfterMs", false),
		ColdFrom:     s.float("Guarantees.ColdFrom", true, 0, 1),
		ColdFor:      s.nanos("Guarantees.ColdMs", true),
		FallMultiple: s.float("Guarantees.FallMultiple", true, 0, 1e6),
		FallFor:      s.nanos("Guarantees.FallMs", true),
		BudgetFor:    s.nanos("Guarantees.BudgetWindowMs", false),
		BudgetFree:   s.float("Guarantees.MinExtra", false, 0, 1e9),
		BudgetShare:  s.float("Guarantees.ResendRatio", false, 0, 1e6),
		CrossPrice:   s.float("Fees.CrossZone", false, -1e6, 1e6),
	}
	switch w := s.settings["Weights"]; w {
	case "nominal", "rough":
		c.Sized = true
	case "", "-", "none", "live": // what varies with load is no size
	default:
		s.reject("Weights", w)
	}
	c.OverWorth = s.listItem("OverShareWorth", 0, 1, 0, 1)
	c.Allowances = s.tenantAllowances()
	switch mode := s.settings["MembershipMode"]; mode {
	case "pushed":
	case "on_request":
		c.ListAsked = true
	default:
		s.reject("MembershipMode", mode)
	}
	names := map[string]int{}
	n := s.integer("Profiles.count", true, 1)
	for i := range n {
		at := "Profiles." + strconv.Itoa(i) + "."
		t := mixer.Tariff{
			Expected:   s.nanos(at+"AimMs", true),
			Patience:   s.nanos(at+"DeadlineMs", true),
			RepeatFor:  s.nanos(at+"KeyTtlMs", false),
			SecondStep: int(s.listItem("FamilyInfo.FetchParts", i, 0, 0, 1e6)),
		}
		t.CompleteFrom = s.listItem("FamilyInfo.CompleteFrom", i, 1, 0, 1)
		t.LeastShare = s.listItem("FamilyInfo.LeastShare", i, t.CompleteFrom, 0, 1)
		t.Partial = s.listItem("FamilyInfo.ClassPartial", i, 0, 0, 1)
		switch e := s.settings[at+"Effect"]; e {
		case "retryable":
			t.Effect = mixer.Repeatable
		case "dedup":
			t.Effect = mixer.Tagged
		case "fragile":
			t.Effect = mixer.OnceOnly
		default:
			s.reject(at+"Effect", e)
		}
		name := s.settings[at+"Name"]
		if name == "" {
			s.reject(at+"Name", "(missing)")
		}
		if s.firstErr != nil {
			break
		}
		names[name] = i
		c.Tariffs = append(c.Tariffs, t)
	}
	return c, names, s.err()
}
