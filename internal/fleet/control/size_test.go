package control

import (
	"encoding/json"
	"testing"
)

// TestSizeOfARowIsThatOfItsJSON holds the size that is reckoned to that of what is written.
func TestSizeOfARowIsThatOfItsJSON(t *testing.T) {
	stamp := Stamp{1, 7, "r-1/0a"}
	for _, r := range []Row{
		{Kind: KindSettings, Name: SettingsName, Stamp: stamp, Body: json.RawMessage(` {"a" : "<&>", "b":[1, 2]} `)},
		{Kind: KindZone, Name: "r-1/<east>/east-1", Stamp: Stamp{1, 7, "r-1"}, Body: json.RawMessage(`{"zone":"<east>"}`)},
		{Kind: KindZone, Name: "r-1/east/east-1", Stamp: Stamp{1, 8, "r-1"}, Gone: true},
	} {
		fitted, size, ok := fit(r)
		all, err := json.Marshal(fitted)
		if !ok || err != nil || size != len(all) {
			t.Errorf("%s %s: %d, is %d (%v, %v)", r.Kind, r.Name, size, len(all), ok, err)
		}
	}
}
