package standin

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// answer writes one answer in the session's protocol.
func (ses *session) answer(a any) {
	w := ses.w
	switch a := a.(type) {
	case fault:
		fmt.Fprintf(w, "-%s\r\n", string(a))
	case simple:
		fmt.Fprintf(w, "+%s\r\n", string(a))
	case int:
		fmt.Fprintf(w, ":%d\r\n", a)
	case string:
		fmt.Fprintf(w, "$%d\r\n%s\r\n", len(a), a)
	case bulk:
		switch {
		case !a.null:
			ses.answer(a.text)
		case ses.protocol == 3:
			w.WriteString("_\r\n")
		default:
			w.WriteString("$-1\r\n")
		}
	case array:
		fmt.Fprintf(w, "*%d\r\n", len(a))
		for _, b := range a {
			ses.answer(b)
		}
	case set:
		sign := '*'
		if ses.protocol == 3 {
			sign = '~'
		}
		fmt.Fprintf(w, "%c%d\r\n", sign, len(a))
		for _, text := range a {
			ses.answer(text)
		}
	case pairs:
		if ses.protocol == 3 {
			fmt.Fprintf(w, "%%%d\r\n", len(a)/2)
		} else {
			fmt.Fprintf(w, "*%d\r\n", len(a))
		}
		for _, v := range a {
			ses.answer(v)
		}
	}
}

// protocolError is what a client is told before its connection ends.
type protocolError struct{ what string }

func (e *protocolError) Error() string { return e.what }

// readCommand reads an array of bulks, or an inline command.
func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if line == "" || line[0] != '*' {
		return strings.Fields(line), nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n > maxArgs {
		return nil, &protocolError{"invalid multibulk length"}
	}
	args := make([]string, 0, max(n, 0))
	for range n {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if line == "" || line[0] != '$' {
			return nil, &protocolError{fmt.Sprintf("expected '$', got '%.1s'", line)}
		}
		size, err := strconv.Atoi(line[1:])
		if err != nil || size < 0 || size > maxBulk {
			return nil, &protocolError{"invalid bulk length"}
		}
		raw := make([]byte, size+2)
		if _, err := io.ReadFull(in, raw); err != nil {
			return nil, err
		}
		args = append(args, string(raw[:size]))
	}
	return args, nil
}

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return "", &protocolError{"too big inline request"}
	}
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}
