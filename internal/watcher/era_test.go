package watcher

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/reducer"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/platform"
)

// eraServer serves lists of two pages and watches; eras holds what the header of each response states, the last one for all others.
func eraServer(t *testing.T, status int, eras ...string) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if eras[0] != "" {
			w.Header().Set(platform.EraHeader, eras[0])
		}
		if len(eras) > 1 {
			eras = eras[1:]
		}
		w.WriteHeader(status)
		key, more := "a", true
		if r.URL.Query().Get("after") == "a" {
			key, more = "b", false
		}
		_, _ = fmt.Fprintf(w, `{"items":[{"key":%q,"revision":5}],"has_more":%v,"current_rev":7}`, key, more)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a list that joins the items of two eras.
func TestListOfTwoErasIsReadAgain(t *testing.T) {
	w := newWatcher(eraServer(t, http.StatusOK, "1", "2", "2", "2"), &bytes.Buffer{})
	event := w.List(context.Background(), time.Now(), reducer.ListConfigService{Era: 1})
	assert.Assert(t, !event.Failed)
	assert.Equal(t, event.Version, cataloguer.Version{Era: 2, Revision: 7})
	assert.Equal(t, len(event.Documents), 2)
	for _, d := range event.Documents {
		assert.Equal(t, d.Version, cataloguer.Version{Era: 2, Revision: 5})
	}

	w = newWatcher(eraServer(t, http.StatusOK, "1", "2", "3", "4", "5", "6", "7"), &bytes.Buffer{})
	assert.Assert(t, w.List(context.Background(), time.Now(), reducer.ListConfigService{}).Failed, "a list ends although no two of its pages have one era")
}

// Guards against an era that is read from successful responses only.
func TestEraOfFailuresIsRead(t *testing.T) {
	for _, status := range []int{http.StatusGone, http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		w := newWatcher(eraServer(t, status, "4"), &bytes.Buffer{})
		event := w.Watch(context.Background(), time.Now(), reducer.WatchConfigService{Since: cataloguer.Version{Era: 3, Revision: 9}})
		assert.Equal(t, event.Era, int64(4), "status %d", status)
		assert.Equal(t, event.Expired, status == http.StatusGone)
		assert.Assert(t, w.List(context.Background(), time.Now(), reducer.ListConfigService{Era: 3}).Era == 4)
	}
}

// Guards against a header that is missing or no number and moves the host to another era, and against a log line for each such response.
func TestResponseWithoutEraCountsAsOfTheKnownOne(t *testing.T) {
	for _, header := range []string{"", "two", "-1"} {
		log := &bytes.Buffer{}
		w := newWatcher(eraServer(t, http.StatusOK, header), log)
		for range 3 {
			event := w.Watch(context.Background(), time.Now(), reducer.WatchConfigService{Since: cataloguer.Version{Era: 3, Revision: 9}})
			assert.Equal(t, event.Version, cataloguer.Version{Era: 3, Revision: 7})
		}
		w.Recorder.Close()
		want := 1
		if header == "" {
			want = 0
		}
		assert.Equal(t, strings.Count(log.String(), platform.EraHeader), want, log.String())
	}
}
