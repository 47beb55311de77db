package simtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHistories(t *testing.T) {
	write := func(start, end int, base, version int64, body string, outcome Outcome) Call {
		return Call{true, base, version, body, outcome, time.Duration(start), time.Duration(end)}
	}
	read := func(start, end int, version int64, body string) Call {
		return Call{Version: version, Body: body, Outcome: Taken, Start: time.Duration(start), End: time.Duration(end)}
	}
	for _, c := range []struct {
		what  string
		calls []Call
		right bool
	}{
		{"one after the other", []Call{write(0, 1, 0, 1, "a", Taken), read(2, 3, 1, "a")}, true},
		{"an old read", []Call{write(0, 1, 0, 1, "a", Taken), read(2, 3, 0, "")}, false},
		{"a read beside a write", []Call{write(0, 5, 0, 1, "a", Taken), read(2, 3, 0, "")}, true},
		{"both of two rivals", []Call{write(0, 5, 0, 1, "a", Taken), write(0, 5, 0, 1, "b", Taken)}, false},
		{"one of two rivals", []Call{write(0, 5, 0, 1, "a", Taken), write(0, 5, 0, 1, "b", Refused)}, true},
		{"none of two rivals", []Call{write(0, 5, 0, 1, "a", Refused), write(0, 5, 0, 1, "b", Refused)}, false},
		{"unclear, and in force much later", []Call{write(0, 1, 0, 1, "a", Unclear), read(2, 3, 0, ""), read(9, 10, 1, "a")}, true},
		{"taken, sent again, refused", []Call{write(0, 1, 0, 1, "a", Taken), write(2, 3, 0, 1, "a", Refused)}, false},
		{"taken, sent again beyond another", []Call{write(0, 1, 0, 1, "a", Taken), write(2, 3, 1, 2, "b", Taken), write(4, 5, 0, 1, "a", Taken), read(6, 7, 2, "b")}, true},
		{"an old order in force again", []Call{write(0, 1, 0, 1, "a", Taken), write(2, 3, 1, 2, "b", Taken), write(4, 5, 0, 1, "a", Taken), read(6, 7, 1, "a")}, false},
	} {
		require.Equal(t, c.right, Linearizable(c.calls), c.what)
	}
}
