package trial

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeployFilesDoNotUseTrialTag holds the deploy files to builds without the tag.
func TestDeployFilesDoNotUseTrialTag(t *testing.T) {
	for _, name := range []string{"../../deploy/system.toml", "../../deploy/balancer.toml", "../../deploy/build"} {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		require.NotContains(t, string(text), "-tags", name)
		require.NotContains(t, string(text), "trial", name)
	}
}
