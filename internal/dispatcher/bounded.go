package dispatcher

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// maxHead is the limit in bytes on the status line and header of one response, together with the interim responses before it.
const maxHead = 32 << 10

// ErrHead is returned when the status line and header of a response exceed their size limit.
var ErrHead = merry.New("response header from the backend server is too long")

// boundedReader reads from a connection, and limits the number of bytes while a response header is read.
type boundedReader struct {
	io.Reader
	inHead bool
	left   int
}

// beginHead starts the limit for the next header; endHead lifts it for the body.
func (b *boundedReader) beginHead() {
	b.inHead = true
	b.left = maxHead
}

func (b *boundedReader) endHead() { b.inHead = false }

// Read returns ErrHead when a header does not end within the limit.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.inHead {
		return b.Reader.Read(p)
	}
	if b.left <= 0 {
		return 0, ErrHead
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
