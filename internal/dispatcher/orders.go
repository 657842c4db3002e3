package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	stateTimeout = time.Second
	loadTimeout  = 20 * time.Second
	maxReplySize = 4 << 20
)

// ReadState asks a backend server for its state.
func ReadState(ctx context.Context, order reducer.PollBackend) reducer.BackendReported {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	event := reducer.BackendReported{Backend: order.Backend}
	var state StateResponse
	if err := getJSON(ctx, "http://"+order.Address+"/v1/state", &state); err != nil {
		event.Failed = true
		return event
	}
	event.Incarnation = state.Incarnation
	event.Running = state.Running
	event.Fence = state.Fence
	for _, a := range state.Adapters {
		key := reducer.AdapterKey{Name: a.Name, Version: a.Version}
		event.Residents = append(event.Residents, reducer.ReportedAdapter{Adapter: key, Running: a.Running})
	}
	return event
}

// Load orders a backend server to load an adapter; it reports false when the order was too late to leave.
func Load(ctx context.Context, order reducer.LoadAdapter) (reducer.LoadEnded, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	event := reducer.LoadEnded{
		Backend: order.Backend, Adapter: order.Adapter, PermitFrom: order.PermitFrom, PermitSequence: order.PermitSequence,
	}
	body := LoadRequest{
		Name: order.Adapter.Name, Version: order.Adapter.Version, EvictName: order.Evict.Name, EvictVersion: order.Evict.Version,
	}
	request, err := newRequest(ctx, "http://"+order.Address+"/v1/adapters", body, order.NotAfter)
	if err != nil {
		event.Failed = true
		return event, true
	}
	request.Header.Set(HeaderFence, strconv.FormatUint(order.Fence, 10))
	response, err := httpc.DoRequest(request)
	if err != nil {
		event.Failed = true
		return event, !expired(err)
	}
	defer drainBody(response)
	event.BackendIncarnation = incarnationOf(response)
	event.Failed = response.StatusCode != http.StatusOK
	return event, true
}

func newRequest(ctx context.Context, url string, body any, notAfter time.Time) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	return rawRequest(ctx, url, data, notAfter)
}

// rawRequest returns a POST whose body cannot be replayed by the HTTP client.
func rawRequest(ctx context.Context, url string, data []byte, notAfter time.Time) (*http.Request, error) {
	body := &guardedBody{Reader: bytes.NewReader(data), notAfter: notAfter}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	request.ContentLength = int64(len(data))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func getJSON(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	defer drainBody(response)
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(ErrBackend, merry.WithMessagef("status %d", response.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplySize)).Decode(value); err != nil {
		return merry.Wrap(ErrBackend, merry.WithCause(err))
	}
	return nil
}

func drainBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplySize))
	_ = response.Body.Close()
}

func incarnationOf(response *http.Response) uint64 {
	incarnation, _ := strconv.ParseUint(response.Header.Get(HeaderIncarnation), 10, 64)
	return incarnation
}
