package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Routes are compared, by the check as by the routing table, in a canonical form in which two hosts or paths are
// equal if no request can tell them apart.

// canonicalHost returns a host in lower case and without its port. An IPv6 literal keeps its brackets.
func canonicalHost(host string) string {
	end := strings.IndexByte(host, ':')
	if strings.HasPrefix(host, "[") {
		end = strings.IndexByte(host, ']') + 1
	}
	if end > 0 || strings.HasPrefix(host, ":") {
		host = host[:end]
	}
	return strings.ToLower(host)
}

// escapeLength is the length of a percent-encoded byte.
const escapeLength = 3

// canonicalPath returns a path, as it stands in a request line, with percent-encoded bytes decoded. Encoded slashes,
// which don't separate segments, and encoded percent signs stay encoded. What is no valid escape stays as it is.
func canonicalPath(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var canonical strings.Builder
	for i := 0; i < len(path); i++ {
		decoded, ok := decodeEscape(path[i:])
		switch {
		case !ok:
			canonical.WriteByte(path[i])
			continue
		case decoded == '/' || decoded == '%':
			canonical.WriteString(strings.ToUpper(path[i : i+escapeLength]))
		default:
			canonical.WriteByte(decoded)
		}
		i += escapeLength - 1
	}
	return canonical.String()
}

// decodeEscape decodes the percent-encoded byte that text starts with. ok is false if it starts with none.
func decodeEscape(text string) (decoded byte, ok bool) {
	if len(text) < escapeLength || text[0] != '%' {
		return 0, false
	}
	decodedBytes, err := hex.DecodeString(text[1:escapeLength])
	if err != nil {
		return 0, false
	}
	return decodedBytes[0], true
}

// checkHost returns why no request can have a host, nil if one can.
func checkHost(host string) error {
	switch {
	case canonicalHost(host) == "":
		return fmt.Errorf("the host %q is empty", host)
	case !httpguts.ValidHostHeader(host):
		return fmt.Errorf("no request can have the host %q", host)
	}
	return nil
}

// checkHeaderValue returns why a text doesn't arrive unchanged as the value of a header, nil if it does.
func checkHeaderValue(value string) error {
	switch {
	case !httpguts.ValidHeaderFieldValue(value):
		return errors.New("a header can't contain it: it has control characters")
	case strings.Trim(value, " \t") != value:
		return errors.New("a header can't contain it: it begins or ends with a blank")
	}
	return nil
}

// checkPathPrefix returns why no request can have a path with a prefix, nil if one can.
func checkPathPrefix(prefix string) error {
	for i := range len(prefix) {
		switch c := prefix[i]; {
		case c == '?' || c == '#':
			return fmt.Errorf("a path can't contain %q", c)
		case c < ' ' || c == 0x7f:
			return fmt.Errorf("a path can't contain the control character %q", c)
		case c == '%':
			if _, ok := decodeEscape(prefix[i:]); !ok {
				return fmt.Errorf("%q isn't followed by two hexadecimal digits", c)
			}
		}
	}
	return nil
}
