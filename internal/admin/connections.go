package admin

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"nettlefold/internal/conns"
)

// writeConnectionMetrics writes the metrics of the connections to searchers, all from one snapshot. The
// metric comparisons_total counts the comparisons of connections that the decisions of the pool took.
func writeConnectionMetrics(w io.Writer, st conns.Stats) {
	const prefix = "nettlefold_connections_"
	metrics.WriteGaugeUint64(w, prefix+"open", uint64(st.Open))
	metrics.WriteGaugeUint64(w, prefix+"idle", uint64(st.Idle))
	metrics.WriteCounterUint64(w, prefix+"opened_total", st.Opened)
	for reason, n := range st.Closed {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`%sclosed_total{reason=%q}`, prefix, conns.Reason(reason)), n)
	}
	metrics.WriteCounterUint64(w, prefix+`refused_total{bound="open"}`, st.TooMany)
	metrics.WriteCounterUint64(w, prefix+`refused_total{bound="handshakes"}`, st.TooFast)
	metrics.WriteCounterUint64(w, prefix+"comparisons_total", st.Steps)
}
