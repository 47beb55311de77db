package fleetcost

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"nettlefold/internal/lab/capacity"
)

// write has the page's tables written anew: go test ./internal/lab/fleetcost -run TestPage -write
var write = flag.Bool("write", false, "write the tables of docs/CAPACITY.md anew")

const page = "../../../docs/CAPACITY.md"

// The page's tables are those that the functions give, to the letter.
func TestPageIsWhatTheFunctionsGive(t *testing.T) {
	raw, err := os.ReadFile(page)
	require.NoError(t, err)
	text := string(raw)
	for name, want := range Tables() {
		mark := regexp.MustCompile(`(?s)<!-- ` + name + ` -->\n(.*?)<!-- end -->`)
		found := mark.FindAllStringSubmatch(text, -1)
		require.Len(t, found, 1, "places of table %s", name)
		if *write {
			text = strings.Replace(text, found[0][0], "<!-- "+name+" -->\n"+want+"<!-- end -->", 1)
			continue
		}
		require.Equal(t, want, found[0][1], "table %s", name)
	}
	if *write {
		require.NoError(t, os.WriteFile(page, []byte(text), 0o644))
	}
}

// Each row's source is a curve that the command plays, or arithmetic.
func TestRowsNameTheirCurves(t *testing.T) {
	var keys []string
	for _, c := range Curves() {
		for _, q := range c.Quantities {
			keys = append(keys, capacity.Key(c, q))
		}
	}
	all := strings.Join(keys, "\n")
	var from []string
	for _, s := range append(Sums(), Events()...) {
		from = append(from, s.From)
	}
	for _, r := range Rank() {
		from = append(from, r.From)
	}
	for _, f := range from {
		for _, one := range strings.Split(f, "; ") {
			if one != "arithmetic" {
				require.Contains(t, all, one)
			}
		}
	}
}

// The figures that the sums take from the programs are what the programs have.
func TestFiguresAreThePrograms(t *testing.T) {
	for file, patterns := range map[string][]string{
		"../../controller/sessions.go": {`longPollTimeout = 350 \* time.Millisecond`},
		"../../agent/gossip.go":        {`flushInterval\s+= 60 \* time.Millisecond`, `hubMessagesPerSecond\s+= 400\n`},
		"../../agent/events.go":        {`eventsPollInterval\s+= 700 \* time.Millisecond`},
		"../../chain/types.go":         {`HeartbeatInterval: +150 \* time.Millisecond`, `SnapshotBytes: 2 << 20`},
		"../../durable/store.go":       {`minCompactRatio = 4\n`},
	} {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, p := range patterns {
			require.Regexp(t, regexp.MustCompile(p), string(raw), file)
		}
	}
}
