package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// News reads messages of the list one after another. Where lines break means nothing: a message may come indented, in
// pieces, or with others in its line.
type MemberListReader struct {
	// Heard is told of each sign of life: an empty line, a message that is whole, and the first byte of one, after which it
	// is not told of that one's other bytes.
	OnActivity func(begun bool)

	src          io.Reader
	decoder      *json.Decoder
	maxBytes     int
	inMessage    bool  // a message has begun to come
	bytesRead    int64 // bytes handed to the decoder
	messageStart int64 // of these, up to the end of the last message
}

// NewNews reads messages of at most so many bytes.
func NewMemberListReader(in io.Reader, most int) *MemberListReader {
	n := &MemberListReader{OnActivity: func(bool) {}, src: in, maxBytes: most}
	n.decoder = json.NewDecoder((*decoderInput)(n))
	return n
}

// Next waits for the next message.
func (n *MemberListReader) Next() (MemberList, error) {
	list, err := readList(n.decoder)
	if meant := (*schemaError)(nil); errors.As(err, &meant) {
		return MemberList{}, fmt.Errorf("list: %w", err)
	} else if err != nil {
		return MemberList{}, err
	}
	n.messageStart = n.decoder.InputOffset()
	n.OnActivity(false)
	rest, _ := io.ReadAll(n.decoder.Buffered())
	if n.inMessage = len(bytes.TrimSpace(rest)) > 0; n.inMessage {
		n.OnActivity(true)
	}
	return list, nil
}

// feed is what the decoder reads from. It notes what comes, keeps empty lines from the decoder, which would hold them until
// the next message, and ends what is over the bound.
type decoderInput MemberListReader

func (f *decoderInput) Read(p []byte) (int, error) {
	for {
		k, err := f.src.Read(p)
		if !f.inMessage && k > 0 {
			sound := bytes.TrimLeft(p[:k], " \t\r\n")
			k = copy(p, sound)
			f.inMessage = k > 0
			f.OnActivity(f.inMessage)
		}
		if k == 0 && err == nil {
			continue
		}
		if f.bytesRead += int64(k); f.bytesRead-f.messageStart > int64(f.maxBytes) {
			return 0, errors.New("list: message too long")
		}
		return k, err
	}
}
