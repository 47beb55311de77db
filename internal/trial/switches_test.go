//go:build trial

package trial

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseSwitches(t *testing.T) {
	disabled, scales := parse("copy-price,attention=0.5")
	require.True(t, disabled[CopyPenalty])
	require.False(t, disabled[StoreSave])
	require.Equal(t, 0.5, scales[Attention])
	require.Equal(t, 1.0, scales[RunningCost])
}

func TestParseEmptySwitches(t *testing.T) {
	disabled, scales := parse("")
	for _, m := range Mechanisms {
		require.False(t, disabled[m], m)
	}
	for _, c := range Constants {
		require.Equal(t, 1.0, scales[c], c)
	}
}

func TestParseRejectsInvalidSwitch(t *testing.T) {
	for _, bad := range []string{"copy-prize", "attention", "copy-price=2", "attention=much"} {
		require.Panics(t, func() { parse(bad) }, bad)
	}
}
