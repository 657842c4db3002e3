package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/redwingpick/redwingpick/internal/waiter"
)

const (
	locateTimeout = 2 * time.Second
	tries         = 8
	firstDelay    = 50 * time.Millisecond
	maxDelay      = time.Second
)

// ErrNoHost is returned when no host answers.
var ErrNoHost = merry.New("no host answers")

// RefusedError is a typed refusal by the fleet.
type RefusedError struct {
	Status       int    `json:"-"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	Message      string `json:"message"`
}

// Error returns the outcome, the reason and the message.
func (e *RefusedError) Error() string { return e.Outcome + ": " + e.Reason + ": " + e.Message }

// Location is the answer of a host to the question which hosts to use.
type Location struct {
	Hosts      []string `json:"hosts"`
	Addresses  []string `json:"addresses"`
	ValidForMs int64    `json:"valid_for_ms"`
	Permit     string   `json:"permit,omitempty"`
}

// Answer is a whole answer.
type Answer struct {
	Text          string
	Body          []byte
	Host          string
	BackendServer string
	Version       string
	Tries         int
}

// Client sends requests for one key; its exported fields are set before its first use.
type Client struct {
	// Addresses are hosts that can be asked for others.
	Addresses []string
	Key       string
	HTTP      *http.Client
	// OnText is given each piece of a streamed answer, if it is set.
	OnText func(text string)

	mutex     sync.Mutex
	locations map[string]kept
}

type kept struct {
	location Location
	until    time.Time
}

// Locate returns the hosts to use for a model or a service.
func (c *Client) Locate(ctx context.Context, query url.Values) (Location, error) {
	key := query.Encode()
	if location, ok := c.keptLocation(key); ok {
		return location, nil
	}
	var last error = ErrNoHost
	for _, a := range c.Addresses {
		location, err := c.locateAt(ctx, a, query)
		if err == nil && len(location.Addresses) > 0 {
			c.keep(key, location)
			return location, nil
		}
		if err != nil {
			last = err
		}
	}
	return Location{}, merry.Wrap(ErrNoHost, merry.WithCause(last))
}

func (c *Client) keptLocation(key string) (Location, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	k, ok := c.locations[key]
	return k.location, ok && time.Now().Before(k.until) && k.location.Permit == ""
}

func (c *Client) keep(key string, location Location) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.locations == nil {
		c.locations = map[string]kept{}
	}
	c.locations[key] = kept{location: location, until: time.Now().Add(time.Duration(location.ValidForMs) * time.Millisecond)}
}

func (c *Client) forget(query url.Values) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.locations, query.Encode())
}

func (c *Client) locateAt(ctx context.Context, address string, query url.Values) (Location, error) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/locate?"+query.Encode(), nil)
	if err != nil {
		return Location{}, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Location{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Location{}, refusedBy(response)
	}
	var location Location
	err = json.NewDecoder(response.Body).Decode(&location)
	return location, err
}

// Complete sends a completions request; when a host fails, another one goes on where the answer broke off.
func (c *Client) Complete(ctx context.Context, model, prompt string, maxTokens int) (Answer, error) {
	query := url.Values{"model": {model}}
	request := completion{Model: model, Prompt: prompt, MaxTokens: maxTokens, Stream: true}
	return c.send(ctx, query, &exchange{path: "/v1/completions", completion: &request})
}

// completion is the body of a completions request.
type completion struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	Stream       bool   `json:"stream"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
}

// Call sends a call to a plain service under a permit; it is repeated only while it has certainly not run.
func (c *Client) Call(ctx context.Context, service string, body []byte) (Answer, error) {
	query := url.Values{"service": {service}}
	location, err := c.Locate(ctx, query)
	if err != nil {
		return Answer{}, err
	}
	return c.send(ctx, query, &exchange{path: "/v1/services/" + url.PathEscape(service), body: body, permit: location.Permit})
}

// exchange is one request as it goes over the wire.
type exchange struct {
	path   string
	body   []byte
	permit string
	// completion is set for a completions request, which may be repeated and goes on behind what has come.
	completion *completion
}

func (e *exchange) encode() ([]byte, error) {
	if e.completion == nil {
		return e.body, nil
	}
	return json.Marshal(e.completion)
}

func (c *Client) send(ctx context.Context, query url.Values, e *exchange) (Answer, error) {
	var last error = ErrNoHost
	delay := firstDelay
	for try := range tries {
		location, err := c.Locate(ctx, query)
		if err != nil {
			last = err
		} else {
			answer, err := c.sendAt(ctx, location.Addresses[try%len(location.Addresses)], e)
			answer.Tries = try + 1
			if err == nil {
				return answer, nil
			}
			last = err
			if !again(err, e) {
				return answer, err
			}
			c.forget(query)
		}
		if !waiter.Wait(ctx, delay) {
			return Answer{}, ctx.Err()
		}
		delay = min(2*delay, maxDelay)
	}
	return Answer{}, last
}

// brokenError is an exchange that broke off.
type brokenError struct {
	err error
	// notSent is true when no byte can have left.
	notSent bool
}

func (e *brokenError) Error() string { return e.err.Error() }
func (e *brokenError) Unwrap() error { return e.err }

func again(err error, e *exchange) bool {
	var broken *brokenError
	if errors.As(err, &broken) {
		return broken.notSent || e.completion != nil
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Outcome == "not_run" && refused.Status == http.StatusServiceUnavailable
	}
	return false
}

func (c *Client) sendAt(ctx context.Context, address string, e *exchange) (Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	body, err := e.encode()
	if err != nil {
		return Answer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+e.path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return Answer{}, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if e.permit != "" {
		request.Header.Set("X-Permit", e.permit)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Answer{}, &brokenError{err: err, notSent: !connected.Load()}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Answer{Host: response.Header.Get("X-Host")}, refusedBy(response)
	}
	answer := Answer{
		Host: response.Header.Get("X-Host"), BackendServer: response.Header.Get("X-Backend-Server"), Version: response.Header.Get("X-Adapter-Version"),
	}
	if e.completion != nil {
		return c.readStream(response, answer, e.completion)
	}
	answer.Body, err = io.ReadAll(response.Body)
	if err != nil {
		return answer, &brokenError{err: err}
	}
	return answer, nil
}

// readStream adds the pieces of a stream to what has come before.
func (c *Client) readStream(response *http.Response, answer Answer, e *completion) (Answer, error) {
	lines := bufio.NewScanner(response.Body)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		failed = failed || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			answer.Text = e.Prefix
			return answer, nil
		}
		if failed {
			return answer, refusalIn([]byte(data), response.StatusCode)
		}
		text, err := textOf(data)
		if err != nil {
			return answer, &brokenError{err: err}
		}
		if text == "" {
			continue
		}
		e.Prefix += text
		e.PrefixTokens++
		if c.OnText != nil {
			c.OnText(text)
		}
	}
	return answer, &brokenError{err: io.ErrUnexpectedEOF}
}

func textOf(data string) (string, error) {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return "", err
	}
	text := ""
	for _, choice := range event.Choices {
		text += choice.Text
	}
	return text, nil
}

func refusedBy(response *http.Response) error {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return &brokenError{err: err}
	}
	return refusalIn(data, response.StatusCode)
}

func refusalIn(data []byte, status int) error {
	var body struct {
		Error RefusedError `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Outcome == "" {
		return &RefusedError{Status: status, Outcome: "unknown", Reason: "status", Message: http.StatusText(status)}
	}
	body.Error.Status = status
	return &body.Error
}
