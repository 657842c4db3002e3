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
	// maxWhole is the largest answer of a plain service that is read before any of it goes to the caller.
	maxWhole = 4 << 20
	// smallWhole is the size in bytes up to which any number of answers is read at a time.
	smallWhole = 64 << 10
	// largeWholes is how many larger answers are read at a time; others wait, and their servers with them.
	largeWholes = 4
)

// largeAnswers bounds the memory of the answers that are being read.
type largeAnswers struct {
	once  sync.Once
	taken chan struct{}
}

// take waits for one of the places, until the deadline; free gives it back.
func (l *largeAnswers) take(ctx context.Context, left time.Duration) error {
	l.once.Do(func() { l.taken = make(chan struct{}, largeWholes) })
	timer := time.NewTimer(left)
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

// readWhole reads the body of an answer; it fails if that does not end within maxWhole.
func (x *exchange[C, S]) readWhole(ctx context.Context, answer *http.Response) ([]byte, error) {
	if answer.ContentLength > maxWhole {
		return nil, ErrLong
	}
	body := http.MaxBytesReader(nil, answer.Body, maxWhole)
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

// discard reads the rest of an answer; it fails if that does not end within maxWhole.
func discard(answer *http.Response) error {
	if answer.ContentLength > maxWhole {
		return ErrLong
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(nil, answer.Body, maxWhole))
	return err
}
