package dispatcher

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	dialTimeout     = time.Second
	idleConnections = 64
	idleFor         = 30 * time.Second
)

// ErrNotAfter is returned when an order would leave this process after its time.
var ErrNotAfter = merry.New("the time for the order is over")

// ErrBackend is returned when a backend server refuses or breaks off an exchange.
var ErrBackend = merry.New("backend server failed")

// UseTransport sets the process-wide HTTP client, which httpc uses, to one that follows no redirect and asks no proxy.
func UseTransport() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	http.DefaultClient.Transport = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleFor,
		DisableCompression:  true,
	}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}

// guardedBody is a request body that fails when it is read after its time, so that a late order is never complete.
type guardedBody struct {
	io.Reader
	notAfter time.Time
}

// Read checks the clock before it hands over the next bytes.
func (g *guardedBody) Read(p []byte) (int, error) {
	if !g.notAfter.IsZero() && !time.Now().Before(g.notAfter) {
		return 0, ErrNotAfter
	}
	return g.Reader.Read(p)
}

// Close does nothing.
func (g *guardedBody) Close() error { return nil }

func expired(err error) bool {
	return errors.Is(err, ErrNotAfter)
}
