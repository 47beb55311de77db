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
type News struct {
	// Heard is told of each sign of life: an empty line, a message that is whole, and the first byte of one, after which it
	// is not told of that one's other bytes.
	Heard func(begun bool)

	in    io.Reader
	out   *json.Decoder
	most  int
	begun bool  // a message has begun to come
	given int64 // bytes handed to the decoder
	done  int64 // of these, up to the end of the last message
}

// NewNews reads messages of at most so many bytes.
func NewNews(in io.Reader, most int) *News {
	n := &News{Heard: func(bool) {}, in: in, most: most}
	n.out = json.NewDecoder((*feed)(n))
	return n
}

// Next waits for the next message.
func (n *News) Next() (List, error) {
	list, err := readList(n.out)
	if meant := (*misfit)(nil); errors.As(err, &meant) {
		return List{}, fmt.Errorf("list: %w", err)
	} else if err != nil {
		return List{}, err
	}
	n.done = n.out.InputOffset()
	n.Heard(false)
	rest, _ := io.ReadAll(n.out.Buffered())
	if n.begun = len(bytes.TrimSpace(rest)) > 0; n.begun {
		n.Heard(true)
	}
	return list, nil
}

// feed is what the decoder reads from. It notes what comes, keeps empty lines from the decoder, which would hold them until
// the next message, and ends what is over the bound.
type feed News

func (f *feed) Read(p []byte) (int, error) {
	for {
		k, err := f.in.Read(p)
		if !f.begun && k > 0 {
			sound := bytes.TrimLeft(p[:k], " \t\r\n")
			k = copy(p, sound)
			f.begun = k > 0
			f.Heard(f.begun)
		}
		if k == 0 && err == nil {
			continue
		}
		if f.given += int64(k); f.given-f.done > int64(f.most) {
			return 0, errors.New("list: message too long")
		}
		return k, err
	}
}
