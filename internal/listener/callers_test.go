package listener

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/zeromicro/go-zero/rest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestLibraryDecidesNothing has a route fail many times in a row behind the daemon's settings of go-zero's server.
func TestLibraryDecidesNothing(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := socket.Addr().String()
	assert.NilError(t, socket.Close())
	conf, err := RestConf(address)
	assert.NilError(t, err)
	assert.Equal(t, conf.Timeout, int64(0))
	assert.Equal(t, conf.Middlewares, rest.MiddlewaresConf{Recover: true, MaxBytes: true})
	server, err := rest.NewServer(conf)
	assert.NilError(t, err)
	var asked atomic.Int64
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: "/fail", Handler: func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}})
	go server.Start()
	defer server.Stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + address + "/none")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = response.Body.Close()
		return poll.Success()
	})
	for range 400 {
		response, err := http.Get("http://" + address + "/fail")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
		_ = response.Body.Close()
	}
	assert.Equal(t, asked.Load(), int64(400))
}
