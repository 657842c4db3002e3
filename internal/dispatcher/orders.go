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

// Limits of one order or one report.
const (
	orderTimeout  = 700 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// maxReportSize is the limit in bytes on the response body of either.
	maxReportSize = 1 << 20
)

// ErrOrderExpired is returned when an order would be sent after the end of its validity.
var ErrOrderExpired = merry.New("order expired before it was sent")

// ErrBackend is returned when a backend server's report cannot be read.
var ErrBackend = merry.New("reading the backend server's report failed")

// guardedBody is a request body that cannot be read after the time notAfter, which keeps a late order from being sent in full.
type guardedBody struct {
	io.Reader
	notAfter time.Time
}

// Read reads the next bytes, or returns ErrOrderExpired if the order has expired.
func (g *guardedBody) Read(p []byte) (int, error) {
	if !clocker.Now().Before(g.notAfter) {
		return 0, ErrOrderExpired
	}
	return g.Reader.Read(p)
}

// SendOrder sends an order to a backend server. It reports inTime as false if the order expired before it was sent.
func (c *Client[C, S]) SendOrder(ctx context.Context, order reducer.OrderAdapter) (event reducer.OrderEnded, inTime bool) {
	event = reducer.OrderEnded{Backend: order.Backend, StartedUnixMs: order.StartedUnixMs, Adapter: order.Adapter, Unload: order.Unload}
	path, header, body := c.Codec.EncodeOrder(order)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	guarded := &guardedBody{Reader: bytes.NewReader(body), notAfter: order.NotAfter}
	if !clocker.Now().Before(order.NotAfter) {
		return event, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+path, guarded)
	if err != nil {
		event.Result = reducer.OrderRefused
		return event, true
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	resp, err := httpc.DoRequest(req)
	if err != nil {
		event.Result = reducer.OrderUnknown
		return event, !errors.Is(err, ErrOrderExpired)
	}
	defer func() { _ = resp.Body.Close() }()
	event.Notice = c.Codec.DecodeNotice(resp, order.Backend)
	event.Result = c.Codec.DecodeOrderStatus(resp.StatusCode)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxReportSize)); err != nil {
		event.Result = reducer.OrderUnknown
	}
	return event, true
}

// ReadReport reads a backend server's report on its adapters.
func (c *Client[C, S]) ReadReport(ctx context.Context, now time.Time, effect reducer.ReadReport) reducer.BackendReported {
	event := reducer.BackendReported{Backend: effect.Backend, StartedUnixMs: effect.StartedUnixMs, RequestedAt: now}
	body, notice, err := c.readReport(ctx, effect)
	event.Notice = notice
	if err != nil {
		event.Failed = true
		return event
	}
	report, err := c.Codec.DecodeReport(body)
	event.Adapters, event.AcceptedOrders = report.Adapters, report.AcceptedOrders
	// A report of another incarnation says nothing about the one that was asked.
	otherIncarnation := report.StartedUnixMs != 0 && effect.StartedUnixMs != 0 && report.StartedUnixMs != effect.StartedUnixMs
	if otherIncarnation {
		event.Notice = reducer.BackendNotice{}
	}
	event.Failed = err != nil || otherIncarnation
	return event
}

func (c *Client[C, S]) readReport(ctx context.Context, effect reducer.ReadReport) ([]byte, reducer.BackendNotice, error) {
	var notice reducer.BackendNotice
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	path, header := c.Codec.EncodeReportCall(effect.Backend)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+effect.Address+path, nil)
	if err != nil {
		return nil, notice, merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	req.Header = header
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return nil, notice, merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	notice = c.Codec.DecodeNotice(resp, effect.Backend)
	if resp.StatusCode != http.StatusOK {
		return nil, notice, merry.Wrap(ErrBackend, merry.WithMessagef("backend server's report has status %d", resp.StatusCode))
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReportSize))
	return body, notice, err
}
