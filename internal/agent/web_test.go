package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOrdersAreNotSentOn: a backend's answer cannot send an order elsewhere, and one whose connection ends without an answer is not sent again.
func TestOrdersAreNotSentOn(t *testing.T) {
	var elsewhere, here atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { elsewhere.Add(1) }))
	defer other.Close()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch here.Add(1) {
		case 1:
			w.WriteHeader(http.StatusOK) // so that the connection is kept
		case 2:
			w.Header().Set("Location", other.URL)
			w.WriteHeader(http.StatusTemporaryRedirect)
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	defer backend.Close()
	web := newWeb()
	for i := range 3 {
		request, err := http.NewRequest(http.MethodPost, backend.URL+"/v1/order", strings.NewReader("{}"))
		require.NoError(t, err)
		answer, err := web.Do(request)
		if i == 2 {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		answer.Body.Close()
	}
	require.Equal(t, int64(3), here.Load())
	require.Zero(t, elsewhere.Load())
}
