package durable

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"strconv"
)

// DamageError is state that was synced once and is not what was written. Offset is -1 where it is not one record that cannot be read.
type DamageError struct {
	Path   string
	Offset int64
	Cause  string
}

func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.Path, e.Offset, e.Cause)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal puts a checksum of key and payload before the payload: the log's framing alone does not show a page that was lost.
func addChecksum(key string, payload []byte) string {
	sum := crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, payload)
	return string(append([]byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}, payload...))
}

// unseal gives the payload if the checksum holds.
func verifyChecksum(key, value string) ([]byte, bool) {
	if len(value) < 4 {
		return nil, false
	}
	payload := []byte(value[4:])
	return payload, addChecksum(key, payload)[:4] == value[:4]
}

// markKey is the key of the record that says that all before it was synced.
const syncMarkerKey = "synced"

// markStart is how such a record begins in the log.
var syncMarkerPrefix = []byte("*3\r\n$3\r\nset\r\n$6\r\n" + syncMarkerKey + "\r\n")

// extent is how much of a log's text can be relied on.
type scanResult struct {
	validBytes int64  // bytes of records that are whole, from the start
	reason     string // why the first record behind them cannot be read, "" if there is none
	// damaged tells that all up to a later place was synced once, so that record was whole. Else it was being written when the power
	// went, and so may have been what follows it.
	damaged bool
}

// scan measures a log's text.
func scanLog(text []byte) scanResult {
	at := 0
	for at < len(text) {
		n, why := measureRecord(text[at:])
		if why != "" {
			return scanResult{int64(at), why, containsSyncMarker(text[at:])}
		}
		at += n
	}
	return scanResult{validBytes: int64(at)}
}

// marked tells whether a whole mark begins behind the start of text.
func containsSyncMarker(text []byte) bool {
	for len(text) > 1 {
		at := bytes.Index(text[1:], syncMarkerPrefix)
		if at < 0 {
			return false
		}
		text = text[1+at:]
		if _, reason := measureRecord(text); reason == "" {
			return true
		}
	}
	return false
}

// record measures the record that text begins with: "set" with a sealed value. The store deletes nothing.
func measureRecord(text []byte) (size int, reason string) {
	parts, size, ok := parseCommand(text)
	if !ok {
		return 0, "the record is torn"
	}
	if len(parts) != 3 || string(parts[0]) != "set" {
		return 0, "no such command"
	}
	if _, ok := verifyChecksum(string(parts[1]), string(parts[2])); !ok {
		return 0, "the checksum does not hold"
	}
	return size, ""
}

// command reads one command in the log's format: *N, then N times $LENGTH and as many bytes, each line ended by CR LF.
func parseCommand(text []byte) (parts [][]byte, size int, ok bool) {
	n, at, ok := parseLength(text, 0, '*')
	if !ok || n < 1 || n > 5 {
		return nil, 0, false
	}
	for range n {
		length, next, ok := parseLength(text, at, '$')
		if !ok || next+length+2 > len(text) || text[next+length] != '\r' || text[next+length+1] != '\n' {
			return nil, 0, false
		}
		parts = append(parts, text[next:next+length])
		at = next + length + 2
	}
	return parts, at, true
}

func parseLength(text []byte, at int, mark byte) (n, next int, ok bool) {
	if at >= len(text) || text[at] != mark {
		return 0, 0, false
	}
	end := bytes.Index(text[at:min(len(text), at+16)], []byte("\r\n"))
	if end < 0 {
		return 0, 0, false
	}
	n, err := strconv.Atoi(string(text[at+1 : at+end]))
	return n, at + end + 2, err == nil && n >= 0
}
