package dispatcher

import (
	"context"
	"net"
	"net/http"
	"time"
)

// keptFor is how long an unused connection is kept for calls to the platform, orders and reports: one that has gone silent meanwhile would
// cost the next call all its time.
const keptFor = time.Second

// UseTransport sets the process-wide HTTP client, which httpc uses, to one that follows no redirect and asks no proxy.
//
// Its connections are reset when they are closed: what a partition holds up of a call that was given up must not arrive later,
// since an order that is carried out late may come after another host's.
func UseTransport() {
	http.DefaultClient.Transport = &http.Transport{
		DialContext: dialResetting, DisableCompression: true, MaxResponseHeaderBytes: maxHead, IdleConnTimeout: keptFor,
	}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}

func dialResetting(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	resetOnClose(conn)
	return conn, nil
}

// resetOnClose makes Close drop what has not been acknowledged.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
