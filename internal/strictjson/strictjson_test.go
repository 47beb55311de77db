package strictjson

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

type document struct {
	Name  string  `json:"name"`
	Size  float64 `json:"size,omitempty"`
	Parts []part  `json:"parts"`
	Owner *part   `json:"owner"`
}

type part struct {
	Kind string `json:"kind"`
}

func TestCheck(t *testing.T) {
	shape := ShapeOf(reflect.TypeFor[document]())
	for text, path := range map[string]string{
		`{"name":"a","name":"b"}`:              "/name",
		`{"name":"a","NAME":"b"}`:              "/NAME",
		`{"Name":"a"}`:                         "/Name",
		`{"\u006eame":"a","name":"b"}`:         "/name",
		`{"ſize":1}`:                           "/ſize",
		`{"parts":[{},{"Kind":"a"}]}`:          "/parts/1/Kind",
		`{"owner":{"kınd":"a","KIND":"a"}}`:    "/owner/KIND",
		`{"other":{"a":1,"a":2}}`:              "/other/a",
		`{"size":1e-400}`:                      "/size",
		`{"size":-1e400}`:                      "/size",
		`{"other":[0,{"x":1e999}]}`:            "/other/1/x",
		`{"name":"\ud800"}`:                    "/name",
		"{\"name\":\"\xff\"}":                  "/name",
		"{\"\xff\":1}":                         "",
		`{"name":"a"} {}`:                      "",
		`{"name":"a"`:                          "",
		``:                                     "",
		"\ufeff{}":                             "",
		`{"name":"a",}`:                        "",
		`{"parts":[{"kind":"a"},{"kind":"b"}`:  "/parts",
		`{"parts":[{"kind":"a","x":[1,2,}]}`:   "/parts/0/x",
		`{"name":"a","size":01}`:               "",
		`{"name":"a","size":NaN}`:              "/size",
		`{"name":"a","parts":[],"parts":null}`: "/parts",
	} {
		var ambiguous *AmbiguousError
		require.ErrorAs(t, shape.Check([]byte(text)), &ambiguous, text)
		require.Equal(t, path, ambiguous.Path, "%s: %s", text, ambiguous.Reason)
	}
	for _, text := range []string{
		`{}`, `{"name":"a","size":5e-324,"parts":[{"kind":"x"}],"owner":{"kind":"y"}}`, ` {"name":"\ud83d\ude00","other":{"Name":1,"name":2}} `,
		`{"size":0,"other":[0.0,-0,0e5,1e300],"names":1,"Nam":2}`, `{"parts":"not a list","owner":[{"Kind":1}]}`, `[{"Name":1}]`, `null`,
	} {
		require.NoError(t, shape.Check([]byte(text)), text)
	}
}
