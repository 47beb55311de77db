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
type Terms map[string]string

// Fault is a setting that is missing or out of range.
type Fault struct{ Key, Value string }

func (f *Fault) Error() string { return fmt.Sprintf("setting %s: %q", f.Key, f.Value) }

// Pairs reads settings written as path=value.
func Pairs(pairs []string) (Terms, error) {
	t := Terms{}
	for _, p := range pairs {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return nil, &Fault{"setting without a value", p[:min(len(p), 80)]}
		}
		t[k] = v
	}
	return t, nil
}

// Nested reads settings written as one JSON object.
func Nested(raw []byte) (Terms, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	t := Terms{}
	for k, v := range all {
		t.flatten(k, v)
	}
	return t, nil
}

// flatten writes one value the way the wire does: objects by their paths, lists of objects by number, lists of
// plain values in one.
func (t Terms) flatten(path string, v any) {
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
			plain[i] = strings.NewReplacer(" ", "_", ",", "_").Replace(text(w))
		}
		t[path] = strings.Join(plain, ",")
	default:
		t[path] = text(v)
	}
}

// text writes one plain value.
func text(v any) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v)
}

// Nanos turns milliseconds into nanoseconds, by way of whole microseconds, which is what the clock counts.
func Nanos(ms float64) int64 {
	if ms < 0 {
		return int64(ms*1000-0.5) * 1000
	}
	return int64(ms*1000+0.5) * 1000
}

// reader reads values and keeps the first fault.
type reader struct {
	all   Terms
	fault *Fault
}

func (s *reader) err() error {
	if s.fault == nil {
		return nil
	}
	return s.fault
}

func (s *reader) bad(key, value string) {
	if s.fault == nil {
		s.fault = &Fault{key, value}
	}
}

// number reads v, the value of key or one item of it, within lo and hi.
func (s *reader) number(key, v string, lo, hi float64) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= lo && x <= hi) {
		s.bad(key, v)
		return 0
	}
	return x
}

// float reads a number within lo and hi; with need false an absent one is zero.
func (s *reader) float(key string, need bool, lo, hi float64) float64 {
	v, ok := s.all[key]
	if !ok || v == "-" || v == "" {
		if need {
			s.bad(key, "(missing)")
		}
		return 0
	}
	return s.number(key, v, lo, hi)
}

func (s *reader) ms(key string, need bool) int64 { return Nanos(s.float(key, need, 0, 1e12)) }

func (s *reader) count(key string, need bool, lo int) int {
	x := s.float(key, need, float64(lo), 1e9)
	if x != float64(int(x)) {
		s.bad(key, s.all[key])
	}
	return int(x)
}

func (s *reader) flag(key string) bool {
	switch v := s.all[key]; v {
	case "true", "1", "True":
		return true
	case "", "-", "false", "0", "False":
	default:
		s.bad(key, v)
	}
	return false
}

// column reads item i of a list of plain values; where the whole key is absent, it is def.
func (s *reader) column(key string, i int, def, lo, hi float64) float64 {
	v, ok := s.all[key]
	if !ok || v == "" || v == "-" {
		return def
	}
	items := strings.Split(v, ",")
	if i >= len(items) {
		s.bad(key, v)
		return def
	}
	return s.number(key, items[i], lo, hi)
}

// mostShares is what the customers' shares may add up to: all, and what rounding adds.
const mostShares = 1 + 1e-3

// customers reads the allowances, and checks what else is told of customers.
func (s *reader) customers() (allowances []float64) {
	if s.all["Tenants.count"] == "" {
		return nil
	}
	names, shares := map[string]bool{}, 0.0
	for i := range s.count("Tenants.count", true, 0) {
		at := "Tenants." + strconv.Itoa(i) + "."
		name := s.all[at+"Name"]
		if name == "" || name == "-" || names[name] { // missing, or told twice
			s.bad(at+"Name", name)
		}
		names[name] = true
		if shares += s.float(at+"Share", true, 0, 1); shares > mostShares {
			s.bad(at+"Share", s.all[at+"Share"])
		}
		allowances = append(allowances, s.float(at+"AllowancePerS", true, 0, 1e9))
		if s.fault != nil {
			return nil
		}
	}
	return allowances
}

// Customers gives the rows of the customers by name, from 1 on, as many as the charter of the same terms has allowances.
func (t Terms) Customers(c mixer.Config) map[string]int {
	rows := map[string]int{}
	for i := range c.Allowances {
		rows[t["Tenants."+strconv.Itoa(i)+".Name"]] = i + 1
	}
	return rows
}

// Charter gives what the module is told, and the rows of its tariffs by name.
func (t Terms) Charter() (mixer.Config, map[string]int, error) {
	s := &reader{all: t}
	c := mixer.Config{
		Zone:         s.all["Locality"],
		Mixers:       s.count("NInstances", true, 1),
		Cells:        s.count("FamilyInfo.Sets", true, 1),
		Reach:        s.count("FamilyInfo.Width", true, 1),
		PerCall:      max(1, s.count("FamilyInfo.PerCall", false, 0)),
		AskWithin:    s.ms("Guarantees.AskWithinMs", false),
		MaxForwards:  s.count("PolicyLimits.MaxAttempts", true, 1),
		MayCopy:      s.flag("PolicyLimits.MayDuplicate"),
		MayCancel:    s.flag("PolicyLimits.Cancel"),
		MayAdvise:    s.flag("PolicyLimits.RetryAfter"),
		MaxAdvice:    s.ms("PolicyLimits.MaxRetryAfterMs", false),
		ColdFrom:     s.float("Guarantees.ColdFrom", true, 0, 1),
		ColdFor:      s.ms("Guarantees.ColdMs", true),
		FallMultiple: s.float("Guarantees.FallMultiple", true, 0, 1e6),
		FallFor:      s.ms("Guarantees.FallMs", true),
		BudgetFor:    s.ms("Guarantees.BudgetWindowMs", false),
		BudgetFree:   s.float("Guarantees.MinExtra", false, 0, 1e9),
		BudgetShare:  s.float("Guarantees.ResendRatio", false, 0, 1e6),
		CrossPrice:   s.float("Fees.CrossZone", false, -1e6, 1e6),
	}
	switch w := s.all["Weights"]; w {
	case "nominal", "rough":
		c.Sized = true
	case "", "-", "none", "live": // what varies with load is no size
	default:
		s.bad("Weights", w)
	}
	c.OverWorth = s.column("OverShareWorth", 0, 1, 0, 1)
	c.Allowances = s.customers()
	switch mode := s.all["MembershipMode"]; mode {
	case "pushed":
	case "on_request":
		c.ListAsked = true
	default:
		s.bad("MembershipMode", mode)
	}
	names := map[string]int{}
	n := s.count("Profiles.count", true, 1)
	for i := range n {
		at := "Profiles." + strconv.Itoa(i) + "."
		t := mixer.Tariff{
			Expected:   s.ms(at+"AimMs", true),
			Patience:   s.ms(at+"DeadlineMs", true),
			RepeatFor:  s.ms(at+"KeyTtlMs", false),
			SecondStep: int(s.column("FamilyInfo.FetchParts", i, 0, 0, 1e6)),
		}
		t.CompleteFrom = s.column("FamilyInfo.CompleteFrom", i, 1, 0, 1)
		t.LeastShare = s.column("FamilyInfo.LeastShare", i, t.CompleteFrom, 0, 1)
		t.Partial = s.column("FamilyInfo.ClassPartial", i, 0, 0, 1)
		switch e := s.all[at+"Effect"]; e {
		case "retryable":
			t.Effect = mixer.Idempotent
		case "dedup":
			t.Effect = mixer.Deduplicated
		case "fragile":
			t.Effect = mixer.AtMostOnce
		default:
			s.bad(at+"Effect", e)
		}
		name := s.all[at+"Name"]
		if name == "" {
			s.bad(at+"Name", "(missing)")
		}
		if s.fault != nil {
			break
		}
		names[name] = i
		c.Tariffs = append(c.Tariffs, t)
	}
	return c, names, s.err()
}
