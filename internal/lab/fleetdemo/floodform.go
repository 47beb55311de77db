package fleetdemo

import (
	"fmt"
	"strings"
)

// floodForm is a way in which a faulty backend sends bytes without end.
type floodForm string

// The forms.
const (
	floodHeaderLine    floodForm = "header-line"     // one header line that never ends
	floodStatusLine    floodForm = "status-line"     // a status line that never ends
	floodHeaders       floodForm = "headers"         // headers without end
	floodInformational floodForm = "informational"   // informational responses without end
	floodChunkSize     floodForm = "chunk-size"      // junk where the size of a chunk is due
	floodHugeChunk     floodForm = "huge-chunk"      // one chunk that never ends
	floodTinyChunks    floodForm = "tiny-chunks"     // chunks of one byte
	floodLength        floodForm = "told-length"     // a huge told length
	floodNoLength      floodForm = "no-length"       // a body without a length
	floodPieces        floodForm = "pieces"          // small pieces of a stream that complete no event
	floodEvents        floodForm = "events"          // whole events without end
	floodComments      floodForm = "comments"        // comments of a stream alone
	floodEventID       floodForm = "event-id"        // an event whose ID never ends
	floodTrailers      floodForm = "trailers"        // trailers without end
	floodAfterAnswer   floodForm = "after-answer"    // bytes after a whole response
	floodExtension     floodForm = "chunk-extension" // the extension of a chunk's size never ends

	floodNone floodForm = "none" // a whole answer and nothing else
)

// floodForms are all forms, in the order of a play.
var floodForms = []floodForm{
	floodHeaderLine, floodStatusLine, floodHeaders, floodInformational, floodChunkSize, floodExtension, floodHugeChunk, floodTinyChunks,
	floodLength, floodNoLength, floodPieces, floodEvents, floodComments, floodEventID, floodTrailers, floodAfterAnswer,
}

// floodBlockBytes is about how much a flooding backend writes at once.
const floodBlockBytes = 32 << 10

// block repeats a text up to floodBlockBytes.
func block(text string) string { return strings.Repeat(text, max(1, floodBlockBytes/len(text))) }

// parts returns what a response to a request begins with, and what is sent again and again after that.
func (f floodForm) parts(status int, requestID, instance string) (first, again string) {
	line := fmt.Sprintf("HTTP/1.1 %d Flood\r\n", status)
	head := line + fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Seal: flood/%s\r\nX-Instance-Id: %s\r\n", requestID, requestID, instance)
	stream := head + "Content-Type: text/event-stream\r\n"
	chunked := stream + "Transfer-Encoding: chunked\r\n\r\n"
	filler := strings.Repeat("x", floodBlockBytes)
	switch f {
	case floodHeaderLine:
		return head + "X-Long: ", filler
	case floodStatusLine:
		return fmt.Sprintf("HTTP/1.1 %d ", status), filler
	case floodHeaders:
		return head, block("X-Header-Of-28-Bytes: 1234\r\n")
	case floodInformational:
		return "", block("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
	case floodChunkSize:
		return chunked, block("zz junk ")
	case floodExtension:
		return chunked + "1;", filler
	case floodHugeChunk:
		return chunked + "7fffffffffffffff\r\n", filler
	case floodTinyChunks:
		return chunked, block("1\r\nx\r\n")
	case floodLength:
		return stream + "Content-Length: 9223372036854775807\r\n\r\n", filler
	case floodNoLength:
		return stream + "Connection: close\r\n\r\n", filler
	case floodPieces:
		return chunked, block("5\r\ndata:\r\n")
	case floodEvents:
		return chunked, block("e\r\ndata: token\n\n\n\r\n")
	case floodComments:
		return chunked, block("4\r\n: x\n\r\n1\r\n\n\r\n")
	case floodEventID:
		return chunked + "7fffffffffffffff\r\nid: ", filler
	case floodTrailers:
		return chunked + "d\r\ndata: token\n\n\r\n0\r\n", block("X-Trailer: 1234\r\n")
	case floodNone:
		return stream + "Connection: close\r\nContent-Length: 13\r\n\r\ndata: token\n\n", ""
	case floodAfterAnswer:
		return stream + "Content-Length: 13\r\n\r\ndata: token\n\n", filler
	}
	panic("unknown form " + string(f))
}
