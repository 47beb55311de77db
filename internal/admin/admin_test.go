package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"nettlefold/internal/fleet/roster"
	"nettlefold/internal/routing"
	"nettlefold/internal/sharing"
	"nettlefold/internal/store"
	"nettlefold/internal/subset"
	"nettlefold/mixer"
)

func TestReasons(t *testing.T) {
	second := int64(time.Second)
	base := routing.Standing{Unit: 1, Fleet: 1}
	for want, change := range map[string]func(*routing.Standing){
		"draining":                   func(s *routing.Standing) { s.Status = mixer.Draining },
		"gone":                       func(s *routing.Standing) { s.Status = mixer.Dead },
		"next test is due in 2s":     func(s *routing.Standing) { s.Suspect, s.TestIn = true, 2*second },
		"nothing in its zone":        func(s *routing.Standing) { s.ZoneSilent = true },
		"3 other mixers":             func(s *routing.Standing) { s.Doubted, s.Word.Suspecting = true, 3 },
		"has a part for it in 1.5s":  func(s *routing.Standing) { s.ColdWait = 3 * second / 2 },
		"lent to others":             func(s *routing.Standing) { s.Word.AwayUntil = 1 },
		"4.0 times the fleet's pace": func(s *routing.Standing) { s.Unit = 4 },
		"other mixers' (9.0 times":   func(s *routing.Standing) { s.Unit, s.Word.Slow = 4, 9 },
		"2 calls of this mixer":      func(s *routing.Standing) { s.Calls = 2 },
	} {
		st := base
		change(&st)
		if got := Reasons(st); len(got) != 1 || !strings.Contains(got[0], want) {
			t.Errorf("got reasons %q, want one with %q", got, want)
		}
	}
	if got := Reasons(base); len(got) != 0 {
		t.Errorf("healthy searcher: got reasons %q, want none", got)
	}
}

type stubRouter struct{}

func (stubRouter) Standing(name string) (routing.Standing, bool) {
	return routing.Standing{}, name == "s"
}

type stubSharing struct{}

func (stubSharing) State() store.State {
	return store.State{Counts: sharing.Counts{Lent: 7, Others: 3}, On: true, Open: true, Newest: 1500 * time.Millisecond}
}

type stubRoster struct{}

func (stubRoster) Self() roster.Life { return roster.Life{Name: "me", Life: 0xa} }
func (stubRoster) Now() int64        { return int64(5 * time.Second) }
func (stubRoster) Members() []roster.Member {
	return []roster.Member{{Life: roster.Life{Name: "me", Life: 0xa}},
		{Life: roster.Life{Name: "you", Life: 0xb0, Site: "x"}, State: roster.CutOff,
			Heard: int64(3 * time.Second), At: int64(4 * time.Second)},
		{Life: roster.Life{Name: "old"}, State: roster.Gone, Why: roster.Goodbye}}
}

func TestHandler(t *testing.T) {
	get := func(s *Server, path string) (int, string) {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		raw, _ := io.ReadAll(w.Result().Body)
		return w.Code, string(raw)
	}
	minimal := &Server{Router: stubRouter{}, Settings: func() any { return "in force" }}
	full := &Server{Router: stubRouter{}, Sharing: stubSharing{}, Settings: minimal.Settings}
	full.Control = func() any { return map[string]string{"relay": "r-1"} }
	full.Subset = func() subset.State { return subset.State{Used: 8, Silent: []string{"a", "b"}} }
	full.Fleet = &Fleet{Roster: stubRoster{}, Tables: []Table{{"rights", func() any { return 7 }}}}
	for _, c := range []struct {
		s    *Server
		path string
		code int
		want string
	}{
		{minimal, "/sharing", 404, "no shared store"}, {minimal, "/settings", 200, "in force"}, {minimal, "/metrics", 200, "process_"},
		{minimal, "/why?searcher=s", 200, "Standing"}, {minimal, "/why?searcher=x", 404, `"x" is not listed`}, {minimal, "/other", 404, ""},
		{minimal, "/fleet", 404, "no fleet"}, {minimal, "/control", 404, "no control is set"},
		{minimal, "/subset", 404, "no subset is set"}, {full, "/subset", 200, `"Used":8,`}, {full, "/why?searcher=x", 404, "or not in the subset"},
		{full, "/metrics", 200, "nettlefold_subset_used 8\n"}, {full, "/metrics", 200, "nettlefold_subset_silent_zones 2\n"},
		{full, "/control", 200, `{"relay":"r-1"}`},
		{full, "/fleet", 200, `"self":{"name":"me","life":"000000000000000a"`},
		{full, "/fleet", 200, `b0","site":"x","build":"","state":"cut off","term":0,"heard_ms":2000,"state_ms":1000}`},
		{full, "/fleet", 200, `"state":"gone","why":"goodbye","term":0,"heard_ms":-1`},
		{full, "/fleet", 200, `"tables":[{"name":"rights","state":7}]`},
		{full, "/sharing", 200, `"Lent":7`}, {full, "/metrics", 200, "nettlefold_sharing_loans_given_total 7\n"},
		{full, "/metrics", 200, "nettlefold_sharing_circuit_open 1\n"}, {full, "/metrics", 200, "nettlefold_sharing_newest_word_seconds 1.5\n"},
		{full, "/metrics", 200, "nettlefold_sharing_mixers_heard 3\n"},
	} {
		if code, got := get(c.s, c.path); code != c.code || !strings.Contains(got, c.want) {
			t.Errorf("GET %s: got status %d, body %.200s, want %d with %s", c.path, code, got, c.code, c.want)
		}
	}
	w := httptest.NewRecorder()
	full.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/sharing", nil))
	if w.Code != http.StatusMethodNotAllowed {
		t.Errorf("POST /sharing: got status %d, want %d", w.Code, http.StatusMethodNotAllowed)
	}
}
