package e2e

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingpick/redwingpick/internal/exampler"
	"github.com/redwingpick/redwingpick/pkg/cataloguer"
	"github.com/redwingpick/redwingpick/pkg/configurer"
)

// relay passes connections on; Silence makes those that are open silent for good, while new ones work.
type relay struct {
	target string
	mutex  sync.Mutex
	open   []*relayed
}

type relayed struct {
	silent chan struct{}
}

func startRelay(t testing.TB, listen, target string) *relay {
	t.Helper()
	socket, err := net.Listen("tcp", listen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	r := &relay{target: target}
	go func() {
		for {
			connection, err := socket.Accept()
			if err != nil {
				return
			}
			go r.serve(connection)
		}
	}()
	return r
}

func (r *relay) serve(in net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = in.Close()
		return
	}
	one := &relayed{silent: make(chan struct{})}
	r.mutex.Lock()
	r.open = append(r.open, one)
	r.mutex.Unlock()
	go one.copy(out, in)
	one.copy(in, out)
}

// copy passes bytes on until the connection is silent; then it neither passes nor closes anything.
func (o *relayed) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-o.silent:
			select {}
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// Silence makes the open connections silent and returns how many there were.
func (r *relay) Silence() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, o := range r.open {
		close(o.silent)
	}
	count := len(r.open)
	r.open = nil
	return count
}

// streamText sends a streamed request to one host and returns its whole text.
func streamText(t *testing.T, address, key, model, prompt string, tokens int) (string, string) {
	t.Helper()
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	text := ""
	for _, line := range strings.Split(string(data), "\n") {
		payload, ok := strings.CutPrefix(line, "data: ")
		if !ok || payload == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		assert.NilError(t, json.Unmarshal([]byte(payload), &event))
		for _, c := range event.Choices {
			text += c.Text
		}
	}
	return text, string(data)
}

// TestSilentConnectionsBetweenHosts silences every connection between hosts while forwarded answers stream over them.
func TestSilentConnectionsBetweenHosts(t *testing.T) {
	relays := map[string]*relay{}
	f := startFleetWith(t, nil, func(settings *configurer.Settings, host *cataloguer.Host) {
		public := host.PeerAddress
		real := strings.Replace(public, "127.0.0.1", "127.0.0.2", 1)
		settings.PeerAddress = real
		relays[settings.HostID] = startRelay(t, public, real)
	})
	var group sync.WaitGroup
	for i, s := range f.settings {
		group.Add(1)
		go func() {
			defer group.Done()
			model := f.model("weddings", i%3)
			text, raw := streamText(t, s.Address, exampler.Key("weddings"), model, "silent", 120)
			if want := wholeText(model, f.version(model), "silent", 120); text != want {
				t.Errorf("host %s: not the whole answer: %.2000s", s.HostID, raw)
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	silenced := 0
	for _, r := range relays {
		silenced += r.Silence()
	}
	assert.Assert(t, silenced > 0)
	group.Wait()
}
