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
	// maxWhole is the limit in bytes on the body of a response that is not streamed, which is read in full before any of it is
	// delivered.
	maxWhole = 4 << 20
	// smallWhole is the number of bytes of a body that are read without a slot.
	smallWhole = 64 << 10
	// largeWholes is the number of larger bodies that are read at a time. Others wait for a slot without reading from their
	// connections, and so hold back the servers.
	largeWholes = 4
)

// largeAnswers is a semaphore that bounds the memory for the bodies that are being read.
type largeAnswers struct {
	once  sync.Once
	taken chan struct{}
}

// take waits for a slot for at most the given time; free releases the slot.
func (l *largeAnswers) take(ctx context.Context, timeout time.Duration) error {
	l.once.Do(func() { l.taken = make(chan struct{}, largeWholes) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case l.taken <- struct{}{}:
		return nil
	case <-timer.C:
		return os.ErrDeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *largeAnswers) free() { <-l.taken }

// readWhole reads the body of a response; it returns an error if the body is longer than maxWhole.
func (x *exchange[C, S]) readWhole(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxWhole {
		return nil, ErrLong
	}
	body := http.MaxBytesReader(nil, resp.Body, maxWhole)
	small, err := io.ReadAll(io.LimitReader(body, smallWhole))
	if err != nil || len(small) < smallWhole {
		return small, err
	}
	if err := x.client.large.take(ctx, clocker.Until(x.order.Deadline)); err != nil {
		return nil, err
	}
	defer x.client.large.free()
	large := bytes.NewBuffer(make([]byte, 0, maxWhole+bytes.MinRead))
	large.Write(small)
	if _, err := large.ReadFrom(body); err != nil {
		return nil, err
	}
	return bytes.Clone(large.Bytes()), nil
}

// discard reads and drops the body of a response; it returns an error if the body is longer than maxWhole.
func discard(resp *http.Response) error {
	if resp.ContentLength > maxWhole {
		return ErrLong
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxWhole))
	return err
}
