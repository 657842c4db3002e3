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
	// tinyBodySize is the number of bytes of a body that are read when there is no memory for more.
	tinyBodySize = 4 << 10
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

// readBody reads the body of a response; it returns an error if the body is longer than maxBodySize. If there is no room for all of a body, it
// returns the first part and a reader of the rest. The function release is to be called once the body is no longer needed.
func (x *exchange[C, S]) readBody(resp *http.Response) (body []byte, rest *restReader, release func(), err error) {
	release = func() {}
	if resp.ContentLength > maxBodySize {
		return nil, nil, release, ErrTooLong
	}
	size, reserved := x.reserveFirstPart(resp.ContentLength)
	release = func() { x.sink.Release(reserved) }
	limited := http.MaxBytesReader(nil, resp.Body, maxBodySize)
	small, err := io.ReadAll(io.LimitReader(limited, int64(size)))
	if err != nil || len(small) < size {
		return small, nil, release, err
	}
	if !x.reserveLarge() {
		return small, &restReader{Reader: limited}, release, nil
	}
	release = func() {
		x.releaseLarge()
		x.sink.Release(reserved)
	}
	large := bytes.NewBuffer(make([]byte, 0, maxBodySize+bytes.MinRead))
	large.Write(small)
	_, err = large.ReadFrom(limited)
	return large.Bytes(), nil, release, err
}

// reserveFirstPart returns the size of the part of a body that is kept in any case, and how much of it has been reserved.
func (x *exchange[C, S]) reserveFirstPart(length int64) (size, reserved int) {
	size = smallBodySize
	if length >= 0 && length < smallBodySize {
		size = int(length) + 1
	}
	if x.sink.Reserve(size) {
		return size, size
	}
	return min(size, tinyBodySize), 0
}

// reserveLarge reserves the memory for a large body and reports whether there is room.
func (x *exchange[C, S]) reserveLarge() bool {
	if !x.client.largeBodies.tryAcquire() {
		return false
	}
	if !x.sink.Reserve(maxBodySize) {
		x.client.largeBodies.release()
		return false
	}
	return true
}

func (x *exchange[C, S]) releaseLarge() {
	x.sink.Release(maxBodySize)
	x.client.largeBodies.release()
}

// discardBody reads and drops the body of a response; it returns an error if the body is longer than maxBodySize.
func discardBody(resp *http.Response) error {
	if resp.ContentLength > maxBodySize {
		return ErrTooLong
	}
	_, err := io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxBodySize))
	return err
}
