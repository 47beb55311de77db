package wire

import (
	"strconv"
	"strings"

	"nettlefold/mixer"
)

// badSetting is a setting that is missing or out of range.
type badSetting struct{ key, value string }

// settings reads path=value pairs and keeps the first fault.
type settings struct {
	all   map[string]string
	fault *badSetting
}

func (s *settings) bad(key, value string) {
	if s.fault == nil {
		s.fault = &badSetting{key, value}
	}
}

// number reads v, the value of key or one item of it, within lo and hi.
func (s *settings) number(key, v string, lo, hi float64) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= lo && x <= hi) {
		s.bad(key, v)
		return 0
	}
	return x
}

// float reads a number within lo and hi; with need false an absent one is zero.
func (s *settings) float(key string, need bool, lo, hi float64) float64 {
	v, ok := s.all[key]
	if !ok || v == "-" || v == "" {
		if need {
			s.bad(key, "(missing)")
		}
		return 0
	}
	return s.number(key, v, lo, hi)
}

func (s *settings) ms(key string, need bool) int64 { return nanos(s.float(key, need, 0, 1e12)) }

func (s *settings) count(key string, need bool, lo int) int {
	x := s.float(key, need, float64(lo), 1e9)
	if x != float64(int(x)) {
		s.bad(key, s.all[key])
	}
	return int(x)
}

func (s *settings) flag(key string) bool {
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
func (s *settings) column(key string, i int, def, lo, hi float64) float64 {
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

// readCharter turns the settings of an init line into a charter and the rows of its tariffs by name.
func readCharter(pairs []string) (mixer.Charter, map[string]int, *badSetting) {
	s := &settings{all: map[string]string{}}
	for _, p := range pairs {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			return mixer.Charter{}, nil, &badSetting{"setting without a value", clip(p)}
		}
		s.all[k] = v
	}
	c := mixer.Charter{
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
			t.Effect = mixer.Repeatable
		case "dedup":
			t.Effect = mixer.Tagged
		case "fragile":
			t.Effect = mixer.OnceOnly
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
	return c, names, s.fault
}
