package watcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/redwingpick/redwingpick/internal/recorder"
	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
)

const (
	// answerTimeout bounds a call beyond the time for which it may wait.
	answerTimeout = time.Second
	// maxAnswer is the largest answer in bytes that is read.
	maxAnswer = 32 << 20
	// maxList is the most bytes that are read for all pages of a list.
	maxList = 64 << 20
)

// ErrPlatform is returned when the configuration service cannot be read.
var ErrPlatform = merry.New("configuration service failed")

// Codec translates the calls of the configuration service.
type Codec interface { // type constraint
	ListPath(after string) string
	WatchPath(revision int64, wait time.Duration) string
	Page(body []byte) (documents []cataloguer.Document, revision int64, more bool, err error)
}

// Watcher reads one configuration service; its exported fields are set before its first use.
type Watcher[C Codec] struct {
	Address  string
	Codec    C
	Recorder *recorder.Recorder
}

// Watch waits for changes after a revision.
func (w *Watcher[C]) Watch(ctx context.Context, now time.Time, order reducer.WatchPlatform) reducer.PlatformRead {
	event := reducer.PlatformRead{RequestedAt: now}
	body, status, err := w.get(ctx, w.Codec.WatchPath(order.Since, order.Wait), order.Wait+answerTimeout)
	if err != nil {
		return w.failed(event, err)
	}
	if status == http.StatusGone {
		event.Expired = true
		return event
	}
	documents, revision, _, err := w.page(body, status)
	if err != nil {
		return w.failed(event, err)
	}
	event.Documents = documents
	event.Revision = revision
	return event
}

// List reads all items; its revision is that of the first page, behind which a watch goes on.
func (w *Watcher[C]) List(ctx context.Context, now time.Time) reducer.PlatformRead {
	event := reducer.PlatformRead{RequestedAt: now, Snapshot: true}
	after := ""
	for read := 0; ; {
		body, status, err := w.get(ctx, w.Codec.ListPath(after), answerTimeout)
		if err != nil {
			return w.failed(event, err)
		}
		documents, revision, more, err := w.page(body, status)
		if err != nil {
			return w.failed(event, err)
		}
		if after == "" {
			event.Revision = revision
		}
		event.Documents = append(event.Documents, documents...)
		if !more || len(documents) == 0 {
			return event
		}
		read += len(body)
		last := documents[len(documents)-1].Key
		if read > maxList || last == after {
			return w.failed(event, merry.Wrap(ErrPlatform, merry.WithMessage("the list does not end")))
		}
		after = last
	}
}

func (w *Watcher[C]) failed(event reducer.PlatformRead, err error) reducer.PlatformRead {
	w.Recorder.Record(recorder.EventPlatformCall, reducer.Field{Name: "error", Value: err.Error()})
	return reducer.PlatformRead{RequestedAt: event.RequestedAt, Failed: true}
}

func (w *Watcher[C]) page(body []byte, status int) (documents []cataloguer.Document, revision int64, more bool, err error) {
	if status != http.StatusOK {
		return nil, 0, false, merry.Wrap(ErrPlatform, merry.WithMessagef("status %d", status))
	}
	documents, revision, more, err = w.Codec.Page(body)
	if err != nil {
		return nil, 0, false, merry.Wrap(ErrPlatform, merry.WithCause(err))
	}
	return documents, revision, more, nil
}

// get makes one call; after a failure the connections are dropped, since one on which an answer was lost stays silent.
func (w *Watcher[C]) get(ctx context.Context, path string, limit time.Duration) (body []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+path, nil)
	if err != nil {
		return nil, 0, merry.Wrap(ErrPlatform, merry.WithCause(err))
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		http.DefaultClient.CloseIdleConnections()
		return nil, 0, merry.Wrap(ErrPlatform, merry.WithCause(err))
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(http.MaxBytesReader(nil, response.Body, maxAnswer))
	if err != nil {
		return nil, 0, merry.Wrap(ErrPlatform, merry.WithCause(err))
	}
	return body, response.StatusCode, nil
}
