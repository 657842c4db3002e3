package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/pkg/decoder"
)

const (
	readTimeout = 2 * time.Second
	// maxIndex is the largest index in bytes that is read.
	maxIndex = 1 << 20
)

// ErrPlatform is returned when the configuration service cannot be read.
var ErrPlatform = merry.New("configuration service failed")

// Index is the platform's answer to a watch.
type Index struct {
	Keys map[string]uint64 `json:"keys"`
}

// Watcher reads one configuration service; its exported fields are set before its first use.
type Watcher struct {
	Address string
}

// Watch waits for revisions newer than the order's and returns the revision of each shard.
func (w *Watcher) Watch(ctx context.Context, order reducer.WatchPlatform) reducer.IndexRead {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, order.Wait+readTimeout)
	defer cancel()
	address := fmt.Sprintf("http://%s/v1/keys?since=%d&wait_ms=%d", w.Address, order.Since, order.Wait.Milliseconds())
	data, _, err := w.get(ctx, address)
	if err != nil {
		return reducer.IndexRead{AskedAt: asked, Failed: true}
	}
	var index Index
	if err := json.Unmarshal(data, &index); err != nil {
		return reducer.IndexRead{AskedAt: asked, Failed: true}
	}
	return reducer.IndexRead{AskedAt: asked, Shards: index.Keys}
}

// Read reads one shard; a shard that fails its checks is returned with the fault in place of its content.
func (w *Watcher) Read(ctx context.Context, order reducer.ReadShard) reducer.ShardRead {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	event := reducer.ShardRead{Name: order.Name, Revision: order.Revision}
	data, revision, err := w.get(ctx, "http://"+w.Address+"/v1/values/"+url.PathEscape(order.Name))
	if err != nil || revision < order.Revision {
		event.Failed = true
		return event
	}
	event.Revision = revision
	shard, err := cataloguer.Parse(order.Name, data)
	if err != nil {
		event.Fault = faultText(err)
		return event
	}
	shard.Name = order.Name
	event.Shard = shard
	return event
}

func faultText(err error) string {
	var fault *decoder.FieldError
	if errors.As(err, &fault) {
		return fault.Error()
	}
	return err.Error()
}

func (w *Watcher) get(ctx context.Context, address string) (data []byte, revision uint64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, 0, merry.Wrap(ErrPlatform, merry.WithCause(err))
	}
	response, err := httpc.DoRequest(request)
	if err != nil {
		return nil, 0, merry.Wrap(ErrPlatform, merry.WithCause(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, 0, merry.Wrap(ErrPlatform, merry.WithMessagef("status %d", response.StatusCode))
	}
	data, err = io.ReadAll(io.LimitReader(response.Body, cataloguer.MaxShardBytes+maxIndex))
	if err != nil {
		return nil, 0, merry.Wrap(ErrPlatform, merry.WithCause(err))
	}
	_, _ = fmt.Sscan(response.Header.Get("X-Revision"), &revision)
	return data, revision, nil
}
