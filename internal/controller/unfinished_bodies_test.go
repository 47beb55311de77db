package controller

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUnfinishedConfigurationsAreBoundedTogether: configurations that arrive but for their last byte on many connections are
// refused beyond the memory for them, and a small one is taken meanwhile.
func TestUnfinishedConfigurationsAreBoundedTogether(t *testing.T) {
	const connections, bodyBytes, limit, interval = 16, 6 << 20, 10 * time.Second, 20 * time.Millisecond
	settings := singleNodeSettings(t)
	settings.MemoryMB = 128
	defer startController(t, settings)()
	put := func(version int) bool {
		code, _ := sendRequest(t, settings, http.MethodPut, "/v1/configuration", fmt.Sprint(version-1), fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version))
		return code == http.StatusOK
	}
	require.Eventually(t, func() bool { return put(1) }, limit, interval)
	refused := make(chan bool, connections)
	for range connections {
		conn, err := net.Dial("tcp", settings.ControlAddr)
		require.NoError(t, err)
		defer conn.Close()
		go func() {
			fmt.Fprintf(conn, "PUT /v1/configuration HTTP/1.1\r\nHost: x\r\nIf-Match: 1\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			conn.Write([]byte(strings.Repeat(" ", bodyBytes-1)))
			conn.SetReadDeadline(time.Now().Add(limit))
			answer := make([]byte, 12)
			n, _ := conn.Read(answer)
			refused <- strings.Contains(string(answer[:n]), "503")
		}()
	}
	require.Eventually(t, func() bool { return len(refused) > 0 }, limit, interval)
	require.True(t, <-refused)
	require.True(t, put(2), "a configuration beside unfinished ones")
}
