package charter

import (
	"encoding/json"
	"regexp"
	"strings"
	"testing"
)

// TestLimitsJSONNames checks the names, and their order, that the explain command and GET /settings print.
func TestLimitsJSONNames(t *testing.T) {
	encoded, err := json.Marshal(Limits{})
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, match := range regexp.MustCompile(`"(\w+)":`).FindAllStringSubmatch(string(encoded), -1) {
		names = append(names, match[1])
	}
	const want = "Cores Memory Sockets Slices Open Streams Connect KeepAlive Patience " +
		"Body Beat Arrivals Taken KillAfter Header Read Prompt Once Kept " +
		"Drain Write Rest Frame Line First Ready WatchLast ID"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("JSON names of Limits:\n%s, want\n%s", got, want)
	}
}
