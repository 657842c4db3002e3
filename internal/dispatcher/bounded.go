package dispatcher

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// maxHeaderSize is the limit in bytes on the status line and header of one response, together with the interim responses before it.
const maxHeaderSize = 32 << 10

// ErrHeaderTooLong is returned when the status line and header of a response exceed their size limit.
var ErrHeaderTooLong = merry.New("response header from the backend server is too long")

// boundedReader reads from a connection, and limits the number of bytes while a response header is read.
type boundedReader struct {
	io.Reader
	inHeader  bool
	remaining int
}

// beginHeader starts the limit for the next header; endHeader lifts it for the body.
func (b *boundedReader) beginHeader() {
	b.inHeader = true
	b.remaining = maxHeaderSize
}

func (b *boundedReader) endHeader() { b.inHeader = false }

// Read returns ErrHeaderTooLong when a header does not end within the limit.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.inHeader {
		return b.Reader.Read(p)
	}
	if b.remaining <= 0 {
		return 0, ErrHeaderTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
