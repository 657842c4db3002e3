package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/redwingpick/redwingpick/internal/clocker"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	orderTimeout  = 700 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// maxReport is the most bytes that are read of the body of an answer to an order or a report.
	maxReport = 1 << 20
)

// ErrNotAfter is returned when an order would leave this process after its time.
var ErrNotAfter = merry.New("the time for the order is over")

// ErrBackend is returned when a backend server fails an order or a report.
var ErrBackend = merry.New("backend server failed")

// guardedBody is a request body that fails when it is read after its time, so that a late order is never complete.
type guardedBody struct {
	io.Reader
	notAfter time.Time
}

// Read checks the clock before it hands over the next bytes.
func (g *guardedBody) Read(p []byte) (int, error) {
	if !clocker.Now().Before(g.notAfter) {
		return 0, ErrNotAfter
	}
	return g.Reader.Read(p)
}

// Order gives an order; inTime is false if its time was over before it left.
func (c *Client[C, S]) Order(ctx context.Context, order reducer.OrderAdapter) (event reducer.OrderEnded, inTime bool) {
	event = reducer.OrderEnded{Backend: order.Backend, StartedUnixMs: order.StartedUnixMs, Adapter: order.Adapter, Unload: order.Unload}
	path, header, body := c.Codec.Order(order)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	guarded := &guardedBody{Reader: bytes.NewReader(body), notAfter: order.NotAfter}
	if !clocker.Now().Before(order.NotAfter) {
		return event, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+path, guarded)
	if err != nil {
		event.Result = reducer.OrderRefused
		return event, true
	}
	request.Header = header
	request.ContentLength = int64(len(body))
	response, err := httpc.DoRequest(request)
	if err != nil {
		event.Result = reducer.OrderUnknown
		return event, !errors.Is(err, ErrNotAfter)
	}
	defer func() { _ = response.Body.Close() }()
	event.Result = c.Codec.Ordered(response.StatusCode)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, response.Body, maxReport)); err != nil {
		event.Result = reducer.OrderUnknown
	}
	return event, true
}

// ReadReport asks a backend server for its state.
func (c *Client[C, S]) ReadReport(ctx context.Context, now time.Time, order reducer.ReadReport) reducer.BackendReported {
	event := reducer.BackendReported{Backend: order.Backend, StartedUnixMs: order.StartedUnixMs, RequestedAt: now}
	body, err := c.readReport(ctx, order)
	if err != nil {
		event.Failed = true
		return event
	}
	event.Adapters, err = c.Codec.Report(body)
	event.Failed = err != nil
	return event
}

func (c *Client[C, S]) readReport(ctx context.Context, order reducer.ReadReport) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	path, header := c.Codec.ReportCall(order.Backend)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+order.Address+path, nil)
	if err != nil {
		return nil, merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	request.Header = header
	response, err := httpc.DoRequest(request)
	if err != nil {
		return nil, merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Wrap(ErrBackend, merry.WithMessagef("status %d", response.StatusCode))
	}
	return io.ReadAll(http.MaxBytesReader(nil, response.Body, maxReport))
}
