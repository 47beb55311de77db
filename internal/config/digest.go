package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// textDigestBytes is the length of TextDigest before its encoding.
const textDigestBytes = 8

// TextDigest returns a short digest, in hex, of a configuration's text. Logs, status and metrics of all programs
// have it, so that operators can tell which text each of them holds. It is "" for no text.
func TextDigest(text []byte) string {
	if len(text) == 0 {
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:textDigestBytes])
}
