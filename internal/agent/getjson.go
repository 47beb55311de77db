package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"nettlefold/internal/memlimit"
)

const (
	// maxReportBytes bounds the text of a backend's report, maxEventsBytes that of a page of its cache events and that
	// of the listing of its cache.
	maxReportBytes = 64 << 10
	maxEventsBytes = 4 << 20
	// maxErrorBytes is how much of a response with another status than 200 is read, so that its connection can be used
	// again.
	maxErrorBytes = 16 << 10
	// jsonReadBytes is how much room is made for a response at first.
	jsonReadBytes = 16 << 10
	// jsonExpansion is about how much larger a decoded response is than its text, with the text.
	jsonExpansion = 8
)

// errNotJSON is returned for a response that isn't a single JSON value of the wanted type.
var errNotJSON = merry.New("response is not the wanted JSON")

// isResponseFault reports whether a call failed because of what the peer sent, rather than of a connection or a refusal.
func isResponseFault(err error) bool {
	return errors.Is(err, memlimit.ErrTooLong) || errors.Is(err, errNotJSON)
}

// responseFaults counts and logs responses of backends that can't be used. It is safe for concurrent use.
type responseFaults struct {
	count atomic.Uint64
	log   zerolog.Logger // lets a few lines through in each period
}

func newResponseFaults(log zerolog.Logger) responseFaults {
	return responseFaults{log: log.Sample(&zerolog.BurstSampler{Burst: 5, Period: 10 * time.Second})}
}

// record counts and logs a response of the peer at addr.
func (f *responseFaults) record(addr string, err error) {
	f.count.Add(1)
	f.log.Warn().Err(err).Str("step", "read").Str("peer", addr).Msg("backend sent a response that can't be used")
}

// jsonRequest is a GET request whose response is a JSON value.
type jsonRequest struct {
	target   string // URL
	header   http.Header
	maxBytes int64            // of the response's text
	memory   *memlimit.Budget // for the response until it is decoded; nil: no bound but maxBytes
}

// getJSON sends a GET request and decodes its JSON response, and returns the length of its text in bytes. Text behind the
// value is an error, as a response without end begins with any value.
func (a *Agent) getJSON(ctx context.Context, r jsonRequest, into any) (bytes int64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.target, nil)
	if err != nil {
		return 0, err
	}
	for name, values := range r.header {
		request.Header[name] = values
	}
	response, err := a.httpClient.Do(request)
	if err != nil {
		return 0, merry.Prepend(err, "agent: GET "+r.target)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
		return 0, merry.New("agent: GET " + r.target + ": " + response.Status)
	}
	memory := r.memory.NewAccount()
	defer memory.Close()
	text, err := memory.ReadAll(response.Body, memlimit.ReadOptions{MaxBytes: r.maxBytes, InitialBytes: jsonReadBytes, Weight: jsonExpansion})
	if err != nil {
		return 0, merry.Prepend(err, "agent: read response of GET "+r.target)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return 0, merry.Prependf(errNotJSON, "agent: decode response of GET %s: %v", r.target, err)
	}
	return int64(len(text)), nil
}
