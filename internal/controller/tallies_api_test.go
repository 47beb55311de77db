package controller

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"nettlefold/internal/tally"
)

// TestParseAdd checks a valid body with an unknown field, invalid bodies, and invalid names.
func TestParseAdd(t *testing.T) {
	add, err := parseAdd("t3", []byte(`{"id":"5c0e7a21d94b36f8","by":4,"more":[]}`))
	require.NoError(t, err)
	require.Equal(t, tally.Add{ID: "5c0e7a21d94b36f8", Tally: "t3", Amount: 4}, add)
	for _, body := range []string{
		``, `[]`, `{}`, `{"id":"a"}`, `{"by":1}`, `{"id":"","by":1}`, `{"id":"a","by":1.5}`, `{"id":"a","by":"4"}`, `{"id":1,"by":1}`,
		`{"id":"a","by":9007199254740993}`, `{"id":"a","by":99999999999999999999}`, `{"id":"` + strings.Repeat("a", 129) + `","by":1}`,
		`{"id":"a","by":1,"By":2}`, `{"id":"a","id":"b","by":1}`, "{\"id\":\"a\xff\",\"by\":1}", `{"id":"\ud800","by":1}`,
	} {
		_, err := parseAdd("t3", []byte(body))
		require.Error(t, err, body)
	}
	_, err = parseAdd("\xff", []byte(`{"id":"a","by":1}`)) // could not be sent to other machines
	require.ErrorIs(t, err, errInvalidName)
	_, err = parseAdd(strings.Repeat("t", 129), []byte(`{"id":"a","by":1}`))
	require.ErrorIs(t, err, errInvalidName)
}

func FuzzBodiesOfAdds(f *testing.F) {
	for _, seed := range []string{`{"id":"a","by":4}`, `{"id":"a","by":-4}`, `{"by":1e3,"id":"\u0000"}`, `{"id":"a","by":4}x`, `null`} {
		f.Add("t", seed)
	}
	f.Fuzz(func(t *testing.T, name, body string) {
		add, err := parseAdd(name, []byte(body))
		if err != nil {
			return
		}
		encoded, err := cbor.Marshal(add)
		if err != nil || cbor.Unmarshal(encoded, &tally.Add{}) != nil {
			t.Fatalf("parseAdd of %q: got %v, which cannot be encoded and decoded", body, add)
		}
		if !validName(add.ID) || add.Amount > maxAmount || add.Amount < -maxAmount {
			t.Fatalf("parseAdd of %q: got invalid add %v", body, add)
		}
	})
}
