package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/redwingpick/redwingpick/internal/clocker"
)

const (
	// maxBodySize is the limit in bytes on the body of a response that is not streamed, which is read in full before any of it is
	// delivered.
	maxBodySize = 4 << 20
	// smallBodySize is the number of bytes of a body that are read without a slot.
	smallBodySize = 64 << 10
	// maxLargeBodies is the number of larger bodies that are read at a time. Others wait for a slot without reading from their
	// connections, and so hold back the servers.
	maxLargeBodies = 4
)

// bodySemaphore bounds the number of large bodies that are being read, and with it their memory.
type bodySemaphore struct {
	once  sync.Once
	slots chan struct{}
}

// acquire waits for a slot for at most the given time; release frees the slot.
func (s *bodySemaphore) acquire(ctx context.Context, timeout time.Duration) error {
	s.once.Do(func() { s.slots = make(chan struct{}, maxLargeBodies) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-timer.C:
		return os.ErrDeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *bodySemaphore) release() { <-s.slots }

// readBody reads the body of a response; it returns an error if the body is longer than maxBodySize.
func (x *exchange[C, S]) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBodySize {
		return nil, ErrTooLong
	}
	body := http.MaxBytesReader(nil, resp.Body, maxBodySize)
	small, err := io.ReadAll(io.LimitReader(body, smallBodySize))
	if err != nil || len(small) < smallBodySize {
		return small, err
	}
	if err := x.client.largeBodies.acquire(ctx, clocker.Until(x.dispatch.Deadline)); err != nil {
		return nil, err
	}
	defer x.client.largeBodies.release()
	large := bytes.NewBuffer(make([]byte, 0, maxBodySize+bytes.MinRead))
	large.Write(small)
	if _, err := large.ReadFrom(body); err != nil {
		return nil, err
	}
	return bytes.Clone(large.Bytes()), nil
}

// discardBody reads and drops the body of a response; it returns an error if the body is longer than maxBodySize.
func discardBody(resp *http.Response) error {
	if resp.ContentLength > maxBodySize {
		return ErrTooLong
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxBodySize))
	return err
}
