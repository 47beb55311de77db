package durable

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"strconv"
)

// DamageError reports that stored state was synced and cannot be read back as written. Offset is -1
// if the error is not about a single record.
type DamageError struct {
	Path   string
	Offset int64
	Cause  string
}

// Error names the file, the offset in bytes, and the cause.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.Path, e.Offset, e.Cause)
}

// castagnoli is the CRC-32C table.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// addChecksum prepends a checksum of key and payload to the payload. The length
// fields of the log alone do not reveal that a page within a value was not written.
func addChecksum(key string, payload []byte) string {
	sum := crc32.Update(crc32.Checksum([]byte(key), castagnoli), castagnoli, payload)
	return string(append([]byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}, payload...))
}

// verifyChecksum returns the payload of a value, and whether its checksum matches.
func verifyChecksum(key, value string) ([]byte, bool) {
	if len(value) < 4 {
		return nil, false
	}
	payload := []byte(value[4:])
	return payload, addChecksum(key, payload)[:4] == value[:4]
}

// syncMarkerKey is the key of the record that says that all records before it were synced.
const syncMarkerKey = "synced"

// syncMarkerPrefix is the start of a sync marker in the log.
var syncMarkerPrefix = []byte("*3\r\n$3\r\nset\r\n$6\r\n" + syncMarkerKey + "\r\n")

// scanResult describes how much of a log is valid.
type scanResult struct {
	validBytes int64  // length of the valid records, from the start
	reason     string // why the record after them cannot be read, "" if there is none
	// damaged reports that a later part of the log contains a sync marker, so the unreadable record
	// was valid once. Otherwise it is taken for a write that a power loss interrupted, and all that
	// follows it is dropped with it.
	damaged bool
}

// scanLog checks the records of a log from its start.
func scanLog(text []byte) scanResult {
	at := 0
	for at < len(text) {
		size, reason := measureRecord(text[at:])
		if reason != "" {
			return scanResult{int64(at), reason, containsSyncMarker(text[at:])}
		}
		at += size
	}
	return scanResult{validBytes: int64(at)}
}

// containsSyncMarker reports whether a valid sync marker starts after the first byte of text.
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

// measureRecord returns the size in bytes of the record at the start of text: a "set" command whose
// value has a checksum. The store deletes no keys.
func measureRecord(text []byte) (size int, reason string) {
	parts, size, ok := parseCommand(text)
	if !ok {
		return 0, "malformed or truncated record"
	}
	if len(parts) != 3 || string(parts[0]) != "set" {
		return 0, "unknown command"
	}
	if _, ok := verifyChecksum(string(parts[1]), string(parts[2])); !ok {
		return 0, "checksum mismatch"
	}
	return size, ""
}

// parseCommand parses one command in the format of the log: *N, then N times $LENGTH and as many
// bytes, each terminated by CR LF. It accepts at most 5 parts.
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

// parseLength parses a line with a type byte and a number that starts at the offset at, and returns
// the number and the offset of the next line. Lines are at most 16 bytes long.
func parseLength(text []byte, at int, typeByte byte) (n, next int, ok bool) {
	if at >= len(text) || text[at] != typeByte {
		return 0, 0, false
	}
	end := bytes.Index(text[at:min(len(text), at+16)], []byte("\r\n"))
	if end < 0 {
		return 0, 0, false
	}
	n, err := strconv.Atoi(string(text[at+1 : at+end]))
	return n, at + end + 2, err == nil && n >= 0
}
