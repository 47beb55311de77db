package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"nettlefold/internal/conns"
)

// TestConnectionsAreTold reads the metrics of the connections to searchers, and has none of them where nothing is told.
func TestConnectionMetrics(t *testing.T) {
	st := conns.Stats{Open: 5, Idle: 3, Opened: 12, TooMany: 2, TooFast: 4, Steps: 99}
	st.Closed[conns.ForAge], st.Closed[conns.ForPlace] = 6, 1
	get := func(s *Server) string {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Body.String()
	}
	told := get(&Server{Connections: func() conns.Stats { return st }})
	for _, want := range []string{"open 5", "idle 3", "opened_total 12", `closed_total{reason="age"} 6`, `closed_total{reason="place"} 1`,
		`closed_total{reason="spent"} 0`, `refused_total{bound="open"} 2`, `refused_total{bound="handshakes"} 4`, "comparisons_total 99"} {
		if !strings.Contains(told, "nettlefold_connections_"+want+"\n") {
			t.Errorf("no line %s in\n%s", want, told)
		}
	}
	if n := strings.Count(told, "closed_total{"); n != conns.Reasons {
		t.Errorf("%d reasons are told of %d", n, conns.Reasons)
	}
	if strings.Contains(get(&Server{}), "nettlefold_connections_") {
		t.Error("connections are told of by nobody")
	}
}
