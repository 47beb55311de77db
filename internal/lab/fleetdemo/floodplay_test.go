package fleetdemo

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFloodsLeaveOthersServed plays backends that send bytes without end beside requests of other clients, each machine on one
// processor. No process may need more memory than its sheet gives it, and no request of others may fail.
func TestFloodsLeaveOthersServed(t *testing.T) {
	var out logWriter = t.Log
	require.NoError(t, PlayFloods(buildProgram(t), FloodOptions{
		Forms:  []string{string(floodHeaderLine), string(floodHeaders), string(floodInformational), string(floodTinyChunks), string(floodAfterAnswer)},
		Status: []int{200}, Callers: 12, Length: 2 * time.Second, OneCore: true,
	}, out))
}

// logWriter writes to the log of a test.
type logWriter func(args ...any)

func (log logWriter) Write(text []byte) (int, error) {
	log(string(text))
	return len(text), nil
}

var _ io.Writer = logWriter(nil)
