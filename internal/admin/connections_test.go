package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"nettlefold/internal/conns"
)

// The metrics of the connections to searchers are complete, and missing without a source for them.
func TestConnectionMetrics(t *testing.T) {
	st := conns.Stats{Open: 5, Idle: 3, Opened: 12, TooMany: 2, TooFast: 4, Steps: 99}
	st.Closed[conns.ForAge], st.Closed[conns.ForPlace] = 6, 1
	get := func(s *Server) string {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Body.String()
	}
	got := get(&Server{Connections: func() conns.Stats { return st }})
	for _, want := range []string{"open 5", "idle 3", "opened_total 12", `closed_total{reason="age"} 6`, `closed_total{reason="place"} 1`,
		`closed_total{reason="spent"} 0`, `refused_total{bound="open"} 2`, `refused_total{bound="handshakes"} 4`, "comparisons_total 99"} {
		if !strings.Contains(got, "nettlefold_connections_"+want+"\n") {
			t.Errorf("metrics: got no line %s in\n%s", want, got)
		}
	}
	if n := strings.Count(got, "closed_total{"); n != conns.Reasons {
		t.Errorf("closed_total: got %d reasons, want %d", n, conns.Reasons)
	}
	if strings.Contains(get(&Server{}), "nettlefold_connections_") {
		t.Error("got connection metrics without a source, want none")
	}
}
