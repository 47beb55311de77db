package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MemberListReader reads a stream of member list messages. Line breaks have no meaning: a message may be
// indented, arrive in pieces, or share a line with others.
type MemberListReader struct {
	// OnActivity is called at the first byte of a message (started is true), at the end of a message, and at
	// white space between messages, which serves as a heartbeat (started is false for both). It is not called
	// for the other bytes of a message.
	OnActivity func(started bool)

	src          io.Reader
	decoder      *json.Decoder
	maxBytes     int
	inMessage    bool  // part of a message has arrived
	bytesRead    int64 // number of bytes passed to the decoder
	messageStart int64 // offset in bytes at which the current message starts: the end of the previous one
}

// NewMemberListReader returns a reader of the messages in src, each of at most maxBytes.
func NewMemberListReader(src io.Reader, maxBytes int) *MemberListReader {
	r := &MemberListReader{OnActivity: func(bool) {}, src: src, maxBytes: maxBytes}
	r.decoder = json.NewDecoder((*decoderInput)(r))
	return r
}

// Next waits for the next message. It returns io.EOF at the end of the stream, io.ErrUnexpectedEOF if that
// lies within a message.
func (r *MemberListReader) Next() (MemberList, error) {
	list, err := readList(r.decoder)
	if mismatch := (*schemaError)(nil); errors.As(err, &mismatch) {
		return MemberList{}, fmt.Errorf("list: %w", err)
	} else if err != nil {
		return MemberList{}, err
	}
	r.messageStart = r.decoder.InputOffset()
	r.OnActivity(false)
	rest, _ := io.ReadAll(r.decoder.Buffered())
	if r.inMessage = len(bytes.TrimSpace(rest)) > 0; r.inMessage {
		r.OnActivity(true)
	}
	return list, nil
}

// decoderInput is the input of the decoder. It reports activity, withholds white space between messages,
// which the decoder would buffer until the next message, and fails once a message exceeds maxBytes.
type decoderInput MemberListReader

func (d *decoderInput) Read(p []byte) (int, error) {
	for {
		n, err := d.src.Read(p)
		if !d.inMessage && n > 0 {
			text := bytes.TrimLeft(p[:n], " \t\r\n")
			n = copy(p, text)
			d.inMessage = n > 0
			d.OnActivity(d.inMessage)
		}
		if n == 0 && err == nil {
			continue
		}
		if d.bytesRead += int64(n); d.bytesRead-d.messageStart > int64(d.maxBytes) {
			return 0, errors.New("list: message too long")
		}
		return n, err
	}
}
