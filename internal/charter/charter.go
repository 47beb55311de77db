// Package charter parses the settings of a load balancer, from the simulator's line protocol or from a JSON
// configuration, into the mixer's Config and the Limits of the process that runs it. It also applies the
// documents that change settings at run time.
package charter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"nettlefold/mixer"
)

// Settings maps the dotted path of each setting, such as "Profiles.0.AimMs", to its value as text.
type Settings map[string]string

// SettingError reports a setting that is missing or has an invalid value. Key is the path of the setting.
type SettingError struct{ Key, Value string }

func (e *SettingError) Error() string { return fmt.Sprintf("invalid setting %s: %q", e.Key, e.Value) }

// ParsePairs parses settings given as path=value. Its error is a *SettingError.
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

// ParseJSON parses settings given as one nested JSON object.
func ParseJSON(raw []byte) (Settings, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	t := Settings{}
	for k, v := range all {
		t.flatten(k, v)
	}
	return t, nil
}

// flatten stores a JSON value in the form of the line protocol: the members of an object under their paths,
// a list of objects under the numbers of its rows with a count, and a list of scalars as one
// comma-separated value. Spaces and commas in a scalar of a list become "_", as a comma separates the items.
func (t Settings) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, w := range v {
			t.flatten(path+"."+k, w)
		}
	case []any:
		scalars := make([]string, len(v))
		for i, w := range v {
			if _, ok := w.(map[string]any); ok {
				t[path+".count"] = strconv.Itoa(len(v))
				t.flatten(path+"."+strconv.Itoa(i), w)
				continue
			}
			scalars[i] = strings.NewReplacer(" ", "_", ",", "_").Replace(formatScalar(w))
		}
		t[path] = strings.Join(scalars, ",")
	default:
		t[path] = formatScalar(v)
	}
}

// formatScalar formats a scalar JSON value as the line protocol does; null is "-".
func formatScalar(v any) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v)
}

// MillisToNanos converts milliseconds to nanoseconds, rounded to whole microseconds, the resolution of the
// simulator's clock.
func MillisToNanos(ms float64) int64 {
	if ms < 0 {
		return int64(ms*1000-0.5) * 1000
	}
	return int64(ms*1000+0.5) * 1000
}

// settingReader converts settings to numbers and flags, and keeps the first error.
type settingReader struct {
	settings Settings
	firstErr *SettingError
}

// err returns the first error, or nil.
func (s *settingReader) err() error {
	if s.firstErr == nil {
		return nil
	}
	return s.firstErr
}

// reject records an invalid value unless an earlier one has been recorded.
func (s *settingReader) reject(key, value string) {
	if s.firstErr == nil {
		s.firstErr = &SettingError{key, value}
	}
}

// parseNumber parses v, the value of key or one item of it, as a number from lo to hi. It returns 0 for an
// invalid value.
func (s *settingReader) parseNumber(key, v string, lo, hi float64) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= lo && x <= hi) {
		s.reject(key, v)
		return 0
	}
	return x
}

// float returns the number at key, which must be from lo to hi. An absent optional setting is 0.
func (s *settingReader) float(key string, required bool, lo, hi float64) float64 {
	v, ok := s.settings[key]
	if !ok || v == "-" || v == "" {
		if required {
			s.reject(key, "(missing)")
		}
		return 0
	}
	return s.parseNumber(key, v, lo, hi)
}

// nanos returns a setting in milliseconds as nanoseconds.
func (s *settingReader) nanos(key string, required bool) int64 {
	return MillisToNanos(s.float(key, required, 0, 1e12))
}

// integer returns a setting that is a whole number of at least lo.
func (s *settingReader) integer(key string, required bool, lo int) int {
	x := s.float(key, required, float64(lo), 1e9)
	if x != float64(int(x)) {
		s.reject(key, s.settings[key])
	}
	return int(x)
}

// boolean returns a flag; an absent one is false.
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

// listItem returns item i of a comma-separated list of numbers from lo to hi, or def if the list is absent.
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

// maxShareSum is the largest allowed sum of the tenants' shares: the whole, plus rounding.
const maxShareSum = 1 + 1e-3

// tenantAllowances returns the rate that each tenant is allowed, in lookups per second, and validates the
// tenants' names and shares.
func (s *settingReader) tenantAllowances() (allowances []float64) {
	if s.settings["Tenants.count"] == "" {
		return nil
	}
	names, shareSum := map[string]bool{}, 0.0
	for i := range s.integer("Tenants.count", true, 0) {
		row := "Tenants." + strconv.Itoa(i) + "."
		name := s.settings[row+"Name"]
		if name == "" || name == "-" || names[name] { // missing or duplicate
			s.reject(row+"Name", name)
		}
		names[name] = true
		if shareSum += s.float(row+"Share", true, 0, 1); shareSum > maxShareSum {
			s.reject(row+"Share", s.settings[row+"Share"])
		}
		allowances = append(allowances, s.float(row+"AllowancePerS", true, 0, 1e9))
		if s.firstErr != nil {
			return nil
		}
	}
	return allowances
}

// TenantRows returns the row of each tenant by name, counted from 1. The configuration c must come from the
// same settings; its number of allowances is the number of rows.
func (t Settings) TenantRows(c mixer.Config) map[string]int {
	rows := map[string]int{}
	for i := range c.Allowances {
		rows[t["Tenants."+strconv.Itoa(i)+".Name"]] = i + 1
	}
	return rows
}

// MixerConfig returns the configuration of the mixer and the row of each request profile by name. Its error
// is a *SettingError. The paths and values of the settings are those of the platform.
func (t Settings) MixerConfig() (mixer.Config, map[string]int, error) {
	s := &settingReader{settings: t}
	c := mixer.Config{
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
	case "nominal", "rough": // the sizes in the list are exact or approximate
		c.Sized = true
	case "", "-", "none", "live": // live weights vary with load and are no measure of size
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
	profileRows := map[string]int{}
	n := s.integer("Profiles.count", true, 1)
	for i := range n {
		row := "Profiles." + strconv.Itoa(i) + "."
		p := mixer.Tariff{
			Expected:   s.nanos(row+"AimMs", true),
			Patience:   s.nanos(row+"DeadlineMs", true),
			RepeatFor:  s.nanos(row+"KeyTtlMs", false),
			SecondStep: int(s.listItem("FamilyInfo.FetchParts", i, 0, 0, 1e6)),
		}
		p.CompleteFrom = s.listItem("FamilyInfo.CompleteFrom", i, 1, 0, 1)
		p.LeastShare = s.listItem("FamilyInfo.LeastShare", i, p.CompleteFrom, 0, 1)
		p.Partial = s.listItem("FamilyInfo.ClassPartial", i, 0, 0, 1)
		switch e := s.settings[row+"Effect"]; e {
		case "retryable":
			p.Effect = mixer.Idempotent
		case "dedup":
			p.Effect = mixer.Deduplicated
		case "fragile":
			p.Effect = mixer.AtMostOnce
		default:
			s.reject(row+"Effect", e)
		}
		name := s.settings[row+"Name"]
		if name == "" {
			s.reject(row+"Name", "(missing)")
		}
		if s.firstErr != nil {
			break
		}
		profileRows[name] = i
		c.Tariffs = append(c.Tariffs, p)
	}
	return c, profileRows, s.err()
}
