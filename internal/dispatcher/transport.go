package dispatcher

import (
	"context"
	"net"
	"net/http"
	"time"
)

// idleConnTimeout is how long an idle connection is kept for calls to the configuration service, orders and reports: the next call would
// lose its whole timeout on a connection whose remote end has become unreachable meanwhile.
const idleConnTimeout = time.Second

// ConfigureDefaultClient configures the process-wide HTTP client, which httpc uses, to follow no redirects and to use no proxy.
//
// Its connections are reset when they are closed. Without the reset, the kernel would go on sending the unacknowledged bytes of an
// abandoned call and deliver them when a network partition heals, and an order carried out that late may follow another host's.
func ConfigureDefaultClient() {
	http.DefaultClient.Transport = &http.Transport{
		DialContext: dialWithReset, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderSize, IdleConnTimeout: idleConnTimeout,
	}
	http.DefaultClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}

// dialWithReset dials a connection that is reset when it is closed.
func dialWithReset(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	resetOnClose(conn)
	return conn, nil
}

// resetOnClose makes Close reset the connection and discard the bytes that have not been acknowledged.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
