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
	// responseTimeout is the timeout of a call, in addition to the wait of a watch.
	responseTimeout = time.Second
	// maxResponseSize is the limit in bytes on the body of a response.
	maxResponseSize = 32 << 20
	// maxListSize is the limit in bytes on all pages of a list together.
	maxListSize = 64 << 20
)

// ErrConfigService is returned when the configuration service cannot be read.
var ErrConfigService = merry.New("configuration service failed")

// Codec encodes the calls to the configuration service and decodes its responses.
type Codec interface { // type constraint
	// ListPath returns the path and query that list the items after a key.
	ListPath(after string) string
	// WatchPath returns the path and query that wait for changes after a revision.
	WatchPath(revision int64, wait time.Duration) string
	// DecodePage decodes a response to a list or a watch; it reports more if the list continues after the last document.
	DecodePage(body []byte) (documents []cataloguer.Document, revision int64, more bool, err error)
}

// Watcher reads one configuration service. Its exported fields are set before its first use.
type Watcher[C Codec] struct {
	Address  string
	Codec    C
	Recorder *recorder.Recorder
}

// Watch waits for changes after a revision. The event is Expired if the service no longer has all changes since that revision.
func (w *Watcher[C]) Watch(ctx context.Context, now time.Time, effect reducer.WatchConfigService) reducer.ConfigRead {
	event := reducer.ConfigRead{RequestedAt: now}
	body, status, err := w.get(ctx, w.Codec.WatchPath(effect.Since, effect.Wait), effect.Wait+responseTimeout)
	if err != nil {
		return w.fail(event, err)
	}
	if status == http.StatusGone {
		event.Expired = true
		return event
	}
	documents, revision, _, err := w.decodePage(body, status)
	if err != nil {
		return w.fail(event, err)
	}
	event.Documents = documents
	event.Revision = revision
	return event
}

// List reads all items, page by page. The event's revision is that of the first page, from which a watch continues.
func (w *Watcher[C]) List(ctx context.Context, now time.Time) reducer.ConfigRead {
	event := reducer.ConfigRead{RequestedAt: now, Snapshot: true}
	after := ""
	for read := 0; ; {
		body, status, err := w.get(ctx, w.Codec.ListPath(after), responseTimeout)
		if err != nil {
			return w.fail(event, err)
		}
		documents, revision, more, err := w.decodePage(body, status)
		if err != nil {
			return w.fail(event, err)
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
		if read > maxListSize || last == after {
			return w.fail(event, merry.Wrap(ErrConfigService, merry.WithMessage("configuration list is too long or does not advance")))
		}
		after = last
	}
}

// fail logs a failed call and returns its event.
func (w *Watcher[C]) fail(event reducer.ConfigRead, err error) reducer.ConfigRead {
	w.Recorder.Record(recorder.EventConfigServiceCallFailed, reducer.Field{Name: "error", Value: err.Error()})
	return reducer.ConfigRead{RequestedAt: event.RequestedAt, Failed: true}
}

// decodePage decodes a response with status 200 and returns an error for any other status.
func (w *Watcher[C]) decodePage(body []byte, status int) (documents []cataloguer.Document, revision int64, more bool, err error) {
	if status != http.StatusOK {
		return nil, 0, false, merry.Wrap(ErrConfigService, merry.WithMessagef("configuration service responded with status %d", status))
	}
	documents, revision, more, err = w.Codec.DecodePage(body)
	if err != nil {
		return nil, 0, false, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	return documents, revision, more, nil
}

// get makes one call. After a failure it closes the idle connections, since the remote end of a connection on which a response was lost
// may have become unreachable.
func (w *Watcher[C]) get(ctx context.Context, path string, timeout time.Duration) (body []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+path, nil)
	if err != nil {
		return nil, 0, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		http.DefaultClient.CloseIdleConnections()
		return nil, 0, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseSize))
	if err != nil {
		return nil, 0, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	return body, resp.StatusCode, nil
}
