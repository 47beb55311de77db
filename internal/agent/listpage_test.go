package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/settings/local"
)

// newListReadingAgent returns an agent that reads the platform's list from a handler.
func newListReadingAgent(t *testing.T, serve http.HandlerFunc) *Agent {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return New(&local.Settings{CloudAddr: strings.TrimPrefix(server.URL, "http://"), Seeds: []string{"127.0.0.1:1"}, IP: "127.0.0.1"}, zerolog.Nop())
}

// TestAnswerThatIsNoListIsNoEmptyList: an answer of the platform without instances is a failure, not a list without
// backends.
func TestAnswerThatIsNoListIsNoEmptyList(t *testing.T) {
	const entry = `{"id":"i-1","service":"llm","address":"10.0.0.1:80","zone":"a","state":"ready"}`
	for text, valid := range map[string]bool{
		`{}`:                          false,
		`{}{}{}`:                      false,
		`null`:                        false,
		`[]`:                          false,
		`{"instances":null}`:          false,
		`{"next_page_token":null}`:    false,
		`{"instances":[` + entry:      false,
		`{"instances":[{}]}`:          false,
		`{"instances":[null]}`:        false,
		`{"instances":[]} and more`:   false,
		`{"instances":[]}` + " \r\n ": true,
		`{"instances":[],"next_page_token":null}`:    true,
		`{"instances":[` + entry + `],"later":true}`: true,
	} {
		a := newListReadingAgent(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) })
		_, _, err := a.readList(context.Background())
		require.Equal(t, valid, err == nil, "%s: %v", text, err)
	}
}
