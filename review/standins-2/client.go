package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is how one request ended for its client.
type result struct {
	id string
	// status is the status of the answer; 0 if there was none.
	status int
	// whole is set if the answer was complete.
	whole  bool
	header http.Header
	body   string
	// kept is set if the channel had carried an answered request before.
	kept   bool
	sentAt time.Time
	endAt  time.Time
	host   *host
}

// text describes a result for the record.
func (r result) text() string {
	switch {
	case r.status == 0:
		return "channel closed without an answer"
	case !r.whole:
		return fmt.Sprintf("status %d, answer broken off", r.status)
	}
	return fmt.Sprintf("status %d, Server-Seal %q, Retry-After %q", r.status, r.header.Get("Server-Seal"), r.header.Get("Retry-After"))
}

// channel is one client's connection to a machine.
type channel struct {
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

// call is a request of a client.
type call struct {
	id, route, body string
	// model, tokens and prefix are the headers of a generation; empty for others.
	model, tokens, prefix string
	timeLeft              time.Duration
}

// encode returns a request as the client sends it.
func (c call) encode() string {
	method := http.MethodPost
	if c.route == "lookup" {
		method = http.MethodGet
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Token %s\r\n",
		method, c.route, hostName, c.id, c.timeLeft.Milliseconds(), apiKey)
	if c.model != "" {
		fmt.Fprintf(&b, "Model: %s\r\nToken-Count: %s\r\n", c.model, c.tokens)
	}
	if c.prefix != "" {
		fmt.Fprintf(&b, "Prompt-Prefix: %s\r\n", c.prefix)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.WriteString(c.body)
	return b.String()
}

// send sends a request on the channel, which it opens if needed, and reads the answer. The channel is closed after anything but a whole answer.
func (ch *channel) send(c call) (res result) {
	res = result{id: c.id, kept: ch.used, sentAt: time.Now(), host: ch.host}
	defer func() { res.endAt = time.Now() }()
	if ch.conn == nil {
		conn, err := net.DialTimeout("tcp", ch.host.front, time.Second)
		if err != nil {
			res.status = -1
			return res
		}
		ch.conn, ch.reader, ch.used = conn, bufio.NewReader(conn), false
		res.kept = false
	}
	_ = ch.conn.SetDeadline(time.Now().Add(c.timeLeft + time.Second))
	if _, err := io.WriteString(ch.conn, c.encode()); err != nil {
		ch.close()
		return res
	}
	response, err := http.ReadResponse(ch.reader, nil)
	if err != nil {
		ch.close()
		return res
	}
	res.status, res.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	res.body, res.whole = string(body), err == nil
	ch.used = true
	if err != nil || response.Close {
		ch.close()
	}
	return res
}

func (ch *channel) close() {
	if ch.conn != nil {
		_ = ch.conn.Close()
	}
	ch.conn, ch.used = nil, false
}
