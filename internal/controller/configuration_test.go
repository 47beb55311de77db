package controller

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/chain"
	"nettlefold/internal/durable"
	"nettlefold/internal/replicated"
)

// TestConfigurationOfAnotherBuildIsServedAndReported guards against CONFIG after an upgrade: a stored configuration
// that an earlier build accepted and this one would refuse stays in force and acknowledged, the operator is told,
// and the next valid one ends that.
func TestConfigurationOfAnotherBuildIsServedAndReported(t *testing.T) {
	const (
		reportLimit    = 10 * time.Second
		reportInterval = 10 * time.Millisecond
		ambiguous      = `{"version":3,"routes":[],"Routes":[],"services":[]}`
	)
	settings := singleNodeSettings(t)
	state := replicated.New()
	state.Apply(1, &replicated.Operation{Kind: replicated.KindConfig, Body: []byte(ambiguous)})
	store, err := durable.Open(settings.DataDirectory)
	require.NoError(t, err)
	require.NoError(t, store.Write([]chain.Record{{Snapshot: &chain.Snapshot{State: state.Encode()}}}))
	store.Close()
	defer startController(t, settings)()

	call := func(method, path, match, body string) (code int, text string) {
		return sendRequest(t, settings, method, path, match, body)
	}
	status := func() (s Status) {
		_, text := call(http.MethodGet, "/v1/status", "", "")
		require.NoError(t, json.Unmarshal([]byte(text), &s))
		return s
	}
	require.Eventually(t, func() bool {
		code, text := call(http.MethodGet, "/v1/configuration", "", "")
		return code == http.StatusOK && text == ambiguous
	}, reportLimit, reportInterval)
	require.Eventually(t, func() bool { return strings.Contains(status().ConfigFault, "/Routes") }, reportLimit, reportInterval)
	code, text := call(http.MethodPut, "/v1/configuration", "0", ambiguous)
	require.Equal(t, http.StatusOK, code, "sent again: %s", text)
	code, text = call(http.MethodPut, "/v1/configuration", "3", `{"version":4,"routes":[],"Routes":[],"services":[]}`)
	require.Equal(t, http.StatusBadRequest, code, "a new one with the same fault: %s", text)
	code, text = call(http.MethodPut, "/v1/configuration", "3", `{"version":4,"routes":[],"services":[]}`)
	require.Equal(t, http.StatusOK, code, text)
	require.Eventually(t, func() bool { return status().ConfigFault == "" }, reportLimit, reportInterval)
}

// TestConfigurationHasALength guards against ORDER: a caller of HTTP/1.0 took a configuration that was cut for a whole one, as only the
// connection's end told where it ended.
func TestConfigurationHasALength(t *testing.T) {
	const reportLimit, reportInterval = 10 * time.Second, 20 * time.Millisecond
	settings := singleNodeSettings(t)
	defer startController(t, settings)()
	document := `{"version":1,"routes":[],"services":[],"kept":"` + strings.Repeat("x", 64<<10) + `"}`
	require.Eventually(t, func() bool {
		code, _ := sendRequest(t, settings, http.MethodPut, "/v1/configuration", "0", document)
		return code == http.StatusOK
	}, reportLimit, reportInterval)
	response, err := http.Get("http://" + settings.ControlAddr + "/v1/configuration")
	require.NoError(t, err)
	defer response.Body.Close()
	require.EqualValues(t, len(document), response.ContentLength)
}
