package watcher

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
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
	// maxListAttempts is how often a list is read whose pages come from different eras.
	maxListAttempts = 3
)

// ErrConfigService is returned when the configuration service cannot be read.
var ErrConfigService = merry.New("configuration service failed")

// Codec encodes the calls to the configuration service and decodes its responses.
type Codec interface { // type constraint
	// ListPath returns the path and query that list the items after a key.
	ListPath(after string) string
	// WatchPath returns the path and query that wait for changes after a revision.
	WatchPath(revision int64, wait time.Duration) string
	// DecodePage decodes a response of an era to a list or a watch; it reports more if the list continues after the last document.
	DecodePage(era int64, body []byte) (documents []cataloguer.Document, version cataloguer.Version, more bool, err error)
	// DecodeEra returns the era that a response states, if it states one.
	DecodeEra(header http.Header) (era int64, stated bool, err error)
}

// Watcher reads one configuration service. Its exported fields are set before its first use.
type Watcher[C Codec] struct {
	Address  string
	Codec    C
	Recorder *recorder.Recorder

	// eraInvalid is set while the last stated era could not be read, which is logged once.
	eraInvalid atomic.Bool
}

// response is a response of the configuration service.
type response struct {
	body   []byte
	status int
	// era is the stated era, or the one that was asked for if the response states none.
	era int64
}

// page is one decoded page of a list, or the changes of a watch.
type page struct {
	documents []cataloguer.Document
	version   cataloguer.Version
	more      bool
}

// Watch waits for changes after a version. The event is Expired if the service does not have all changes since that version.
func (w *Watcher[C]) Watch(ctx context.Context, now time.Time, effect reducer.WatchConfigService) reducer.ConfigRead {
	event := reducer.ConfigRead{RequestedAt: now, Since: effect.Since, Era: effect.Since.Era}
	r, err := w.get(ctx, w.Codec.WatchPath(effect.Since.Revision, effect.Wait), event.Era, effect.Wait+responseTimeout)
	event.Era = r.era
	if err != nil {
		return w.fail(event, err)
	}
	if r.status == http.StatusGone {
		event.Expired = true
		return event
	}
	p, err := w.decodePage(r)
	if err != nil {
		return w.fail(event, err)
	}
	event.Documents, event.Version = p.documents, p.version
	return event
}

// List reads all items, page by page. The event's version is that of the first page, from which a watch continues. A list whose pages come from two
// eras is read again.
func (w *Watcher[C]) List(ctx context.Context, now time.Time, effect reducer.ListConfigService) reducer.ConfigRead {
	event := reducer.ConfigRead{RequestedAt: now, Snapshot: true, Era: effect.Era}
	for range maxListAttempts {
		changed, err := w.listPages(ctx, &event)
		if err != nil {
			return w.fail(event, err)
		}
		if !changed {
			return event
		}
	}
	return w.fail(event, merry.Wrap(ErrConfigService, merry.WithMessage("the era of the configuration service changes in each list")))
}

// listPages reads all pages into the event. It stops at a page of another era than the first one and reports that as changed.
func (w *Watcher[C]) listPages(ctx context.Context, event *reducer.ConfigRead) (changed bool, err error) {
	event.Documents = nil
	after := ""
	for read := 0; ; {
		r, err := w.get(ctx, w.Codec.ListPath(after), event.Era, responseTimeout)
		if err != nil {
			event.Era = r.era
			return false, err
		}
		if after != "" && r.era != event.Era {
			event.Era = r.era
			return true, nil
		}
		event.Era = r.era
		p, err := w.decodePage(r)
		if err != nil {
			return false, err
		}
		if after == "" {
			event.Version = p.version
		}
		event.Documents = append(event.Documents, p.documents...)
		if !p.more || len(p.documents) == 0 {
			return false, nil
		}
		read += len(r.body)
		last := p.documents[len(p.documents)-1].Key
		if read > maxListSize || last == after {
			return false, merry.Wrap(ErrConfigService, merry.WithMessage("configuration list is too long or does not advance"))
		}
		after = last
	}
}

// fail logs a failed call and returns its event.
func (w *Watcher[C]) fail(event reducer.ConfigRead, err error) reducer.ConfigRead {
	w.Recorder.Record(recorder.EventConfigServiceCallFailed, reducer.Field{Name: "error", Value: err.Error()})
	return reducer.ConfigRead{RequestedAt: event.RequestedAt, Failed: true, Era: event.Era}
}

// decodePage decodes a response with status 200 and returns an error for any other status.
func (w *Watcher[C]) decodePage(r response) (p page, err error) {
	if r.status != http.StatusOK {
		return page{}, merry.Wrap(ErrConfigService, merry.WithMessagef("configuration service responded with status %d", r.status))
	}
	p.documents, p.version, p.more, err = w.Codec.DecodePage(r.era, r.body)
	if err != nil {
		return page{}, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	return p, nil
}

// decodeEra returns the era that a response states, or asked if it states none that can be read.
func (w *Watcher[C]) decodeEra(header http.Header, asked int64) int64 {
	era, stated, err := w.Codec.DecodeEra(header)
	if err != nil {
		if !w.eraInvalid.Swap(true) {
			w.Recorder.Record(recorder.EventEraInvalid, reducer.Field{Name: "error", Value: err.Error()})
		}
		return asked
	}
	if !stated {
		return asked
	}
	w.eraInvalid.Store(false)
	return era
}

// get makes one call; asked is the era to which a response without one counts. After a failure it closes the idle connections, since the remote end of
// a connection on which a response was lost may have become unreachable.
func (w *Watcher[C]) get(ctx context.Context, path string, asked int64, timeout time.Duration) (r response, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.era = asked
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Address+path, nil)
	if err != nil {
		return r, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		http.DefaultClient.CloseIdleConnections()
		return r, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	r.era, r.status = w.decodeEra(resp.Header, asked), resp.StatusCode
	r.body, err = io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseSize))
	if err != nil {
		return r, merry.Wrap(ErrConfigService, merry.WithCause(err))
	}
	return r, nil
}
