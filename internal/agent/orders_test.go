package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/dispatch"
)

// TestTheOldestWeightsAreExchangedFirst: a version that is named midway begins with the backends that the one before did not reach.
func TestTheOldestWeightsAreExchangedFirst(t *testing.T) {
	a := fleetOf(1, 1)[0]
	for id, version := range map[string]int64{"a": 2, "b": 1, "c": 3, "d": 1, "e": 2} {
		a.list = append(a.list, dispatch.Listed{ID: id, Versions: map[string]int64{"m": version}})
	}
	a.list = append(a.list, dispatch.Listed{ID: "other", Versions: map[string]int64{"n": 1}}, dispatch.Listed{ID: "plain"})
	var versions []int64
	for _, l := range a.behind("m", 3) {
		versions = append(versions, l.Versions["m"])
	}
	require.Equal(t, []int64{1, 1, 2, 2}, versions)
}
