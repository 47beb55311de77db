package trial

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeployFilesDoNotUseTrialTag checks that the deployment files build without the trial tag.
func TestDeployFilesDoNotUseTrialTag(t *testing.T) {
	for _, name := range []string{"../../deploy/system.toml", "../../deploy/balancer.toml", "../../deploy/build"} {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		require.NotContains(t, string(text), "-tags", name)
		require.NotContains(t, string(text), "trial", name)
	}
}
