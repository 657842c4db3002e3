package dispatcher

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

const (
	// maxBodySize is the limit in bytes on the body of a response that is not streamed.
	maxBodySize = 4 << 20
	// smallBodySize is the number of bytes of a body that are read without a slot.
	smallBodySize = 64 << 10
	// maxLargeBodies is the number of larger bodies that are kept at a time, until their callers have them. Others are passed on as they are read,
	// and so hold back the servers if the callers read slowly.
	maxLargeBodies = 4
	// maxFailureBodySize is the limit in bytes on the body of a failure, which is kept until it is known whether the request is retried.
	maxFailureBodySize = 256 << 10
)

// bodySemaphore bounds the number of large bodies that are kept, and with it their memory.
type bodySemaphore struct {
	once  sync.Once
	slots chan struct{}
}

// tryAcquire takes a slot and reports whether one was free; release frees it.
func (s *bodySemaphore) tryAcquire() bool {
	s.once.Do(func() { s.slots = make(chan struct{}, maxLargeBodies) })
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *bodySemaphore) release() { <-s.slots }

// restReader reads the rest of a body and keeps the error that ended it, other than the body's end.
type restReader struct {
	io.Reader
	err error
}

// Read reads the next bytes.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// readBody reads the body of a response; it returns an error if the body is longer than maxBodySize. If no slot is free for a large body, it
// returns the first part and a reader of the rest. The function release is to be called once the body is no longer needed.
func (x *exchange[C, S]) readBody(resp *http.Response) (body []byte, rest *restReader, release func(), err error) {
	release = func() {}
	if resp.ContentLength > maxBodySize {
		return nil, nil, release, ErrTooLong
	}
	limited := http.MaxBytesReader(nil, resp.Body, maxBodySize)
	small, err := io.ReadAll(io.LimitReader(limited, smallBodySize))
	if err != nil || len(small) < smallBodySize {
		return small, nil, release, err
	}
	if !x.client.largeBodies.tryAcquire() {
		return small, &restReader{Reader: limited}, release, nil
	}
	large := bytes.NewBuffer(make([]byte, 0, maxBodySize+bytes.MinRead))
	large.Write(small)
	if _, err := large.ReadFrom(limited); err != nil {
		x.client.largeBodies.release()
		return nil, nil, release, err
	}
	return large.Bytes(), nil, x.client.largeBodies.release, nil
}

// discardBody reads and drops the body of a response; it returns an error if the body is longer than maxBodySize.
func discardBody(resp *http.Response) error {
	if resp.ContentLength > maxBodySize {
		return ErrTooLong
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxBodySize))
	return err
}
