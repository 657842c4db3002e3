package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// newID returns a request id that no other attempt has.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requestNumber.Add(1)) }

// request is one client attempt.
type request struct {
	method, path, key, model, tokens, prefix string
	deadline                                 time.Duration
	body                                     []byte
}

// answer is what a client has seen of the answer to one attempt.
type answer struct {
	id         string
	sent       time.Time
	status     int
	retryAfter time.Duration
	seal       string
	body       string
	close      bool
	took       time.Duration
	err        error
}

// channel is one connection of a client to a host.
type channel struct {
	conn    net.Conn
	reader  *bufio.Reader
	address string
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn), address: address}, nil
}

// write sends an attempt and returns its id.
func (c *channel) write(r request) (id string, err error) {
	id = newID()
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\n", r.method, r.path, clientHost, id,
		r.deadline.Milliseconds())
	if r.key != "" {
		text.WriteString("Authorization: Token " + r.key + "\r\n")
	}
	if r.model != "" {
		fmt.Fprintf(&text, "Model: %s\r\nToken-Count: %s\r\nPrompt-Prefix: %s\r\n", r.model, r.tokens, r.prefix)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n")
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	_, err = c.conn.Write(append([]byte(text.String()), r.body...))
	return id, err
}

// send sends one attempt and reads its whole answer.
func (c *channel) send(r request) answer {
	a := answer{sent: time.Now()}
	a.id, a.err = c.write(r)
	if a.err != nil {
		return a
	}
	c.read(&a)
	a.took = time.Since(a.sent)
	return a
}

func (c *channel) read(a *answer) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.seal, a.close = response.StatusCode, response.Header.Get("Server-Seal"), response.Close
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
}

// client keeps one channel, as long as the directory names its address, and opens a new one where the system asks for it.
type client struct {
	fleet    *fleet
	zone     string
	channel  *channel
	avoid    map[string]bool
	resolved []string
	until    time.Time
}

// resolve asks the directory for addresses, and keeps the response for the time that it states.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	order := rand.Perm(len(c.fleet.hosts))
	query := "/redwingpick/resolution?name=" + clientHost + "&region=bengal&zone=" + url.QueryEscape(c.zone)
	httpClient := http.Client{Timeout: time.Second}
	for _, i := range order[:3] {
		response, err := httpClient.Get("http://" + c.fleet.hosts[i].directory + query)
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string
			TTL       float64 `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || len(body.Addresses) == 0 {
			continue
		}
		c.resolved, c.until = body.Addresses, time.Now().Add(time.Duration(min(body.TTL, 5)*float64(time.Second)))
		return
	}
}

// connect opens a channel to an address that the directory names, other than those that have failed the client.
func (c *client) connect() error {
	c.resolve()
	var choice []string
	for _, address := range c.resolved {
		if !c.avoid[address] {
			choice = append(choice, address)
		}
	}
	if len(choice) == 0 {
		c.avoid = map[string]bool{}
		c.until = time.Time{}
		return fmt.Errorf("the directory names no address")
	}
	address := choice[rand.Intn(len(choice))]
	opened, err := openChannel(address)
	if err != nil {
		c.avoid[address] = true
		return err
	}
	c.channel = opened
	return nil
}

// send sends one attempt on the kept channel, or on a new one.
func (c *client) send(r request) answer {
	if c.channel == nil {
		if err := c.connect(); err != nil {
			return answer{sent: time.Now(), err: err}
		}
	}
	a := c.channel.send(r)
	if a.err != nil {
		c.avoid[c.channel.address] = true
	}
	if a.err != nil || a.close {
		_ = c.channel.conn.Close()
		c.channel = nil
	}
	return a
}
