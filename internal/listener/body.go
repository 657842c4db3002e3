package listener

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/redwingpick/redwingpick/internal/budgeter"
	"github.com/redwingpick/redwingpick/internal/messenger"
	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	// bodyStepSize is the size in bytes of the parts in which a body is read and kept; a body of unknown length begins with firstStepSize, and its parts
	// double, so that a small one does not hold a whole part.
	bodyStepSize  = 64 << 10
	firstStepSize = 4 << 10
	// peerBodyFactor is the number of bytes that are held for each byte of a call, whose buffers double as they grow.
	peerBodyFactor = 3
	// compressedBytes is what a compressed call is charged for beside its body, which may expand to the largest call in a buffer that doubles.
	compressedBytes = 2 * messenger.MaxCallSize
)

// errBudgetExceeded is returned when a body is not read on because the budget of all clients is exhausted.
var errBudgetExceeded = merry.New("memory for the requests of callers is exhausted")

// readSegments reads a body in parts, each of which is taken from the budget before it is read. It returns the reason for a refusal, if any.
func readSegments(c *client, w http.ResponseWriter, r *http.Request, limit int64) ([][]byte, reducer.Reason) {
	if !c.enterPhase(budgeter.PhaseRunning) {
		// The connection was dropped as the head ended: nothing must run whose caller gets no response.
		return nil, reducer.ReasonCallerMemory
	}
	if r.ContentLength == 0 {
		return nil, reducer.ReasonNone
	}
	if r.ContentLength > limit {
		return nil, reducer.ReasonTooLarge
	}
	if !c.enterPhase(budgeter.PhaseBody) {
		return nil, reducer.ReasonCallerMemory
	}
	segments, err := readAll(c, http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, reducer.ReasonTooLarge
	case !c.enterPhase(budgeter.PhaseRunning), errors.Is(err, errBudgetExceeded):
		return nil, reducer.ReasonCallerMemory
	case err != nil:
		return nil, reducer.ReasonBadRequest
	}
	return segments, reducer.ReasonNone
}

// readAll reads a body of the given length, which is negative if it is not known.
func readAll(c *client, body io.Reader, length int64) ([][]byte, error) {
	var segments [][]byte
	size := int64(firstStepSize)
	for read := int64(0); ; {
		if length >= 0 {
			size = max(min(length-read, bodyStepSize), 1)
		}
		if !c.take(size) {
			return nil, errBudgetExceeded
		}
		segment, err := readSegment(progressReader{Reader: body, client: c}, int(size))
		if len(segment) > 0 {
			segments = append(segments, segment)
		}
		read += int64(len(segment))
		if err == io.EOF {
			return segments, nil
		}
		if err != nil {
			return nil, err
		}
		size = min(2*size, bodyStepSize)
	}
}

// readSegment reads until a segment of the given size is full or the body ends.
func readSegment(body io.Reader, size int) ([]byte, error) {
	segment := make([]byte, size)
	for n := 0; ; {
		read, err := body.Read(segment[n:])
		n += read
		if err != nil || n == size {
			return segment[:n], err
		}
	}
}

// progressReader counts the bytes that are read as progress of a client.
type progressReader struct {
	io.Reader
	client *client
}

// Read reads the next bytes.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.client.moved(n)
	return n, err
}

// guardBodies passes on requests whose bodies count in the budget as they are read, up to a limit.
func (g *Guard) guardBodies(class budgeter.Class, limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := clientOf(r)
		if r.ProtoMajor >= 2 {
			var end func()
			c, end = g.sharedClient(class, w, r)
			defer end()
		}
		defer c.endRequest()
		if r.Body != http.NoBody {
			c.enterPhase(budgeter.PhaseBody)
		}
		if isCompressed(r) && !c.take(compressedBytes) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Body = &budgetedBody{ReadCloser: http.MaxBytesReader(w, r.Body, limit), client: c}
		next.ServeHTTP(w, r)
	})
}

// isCompressed reports whether the body of a call, or a message in it, is compressed.
func isCompressed(r *http.Request) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if r.Header.Get(name) != "" {
			return true
		}
	}
	return false
}

// sharedClient returns the client of one request on a connection that several requests share, and the function that removes it as the handler ends.
func (g *Guard) sharedClient(class budgeter.Class, w http.ResponseWriter, r *http.Request) (c *client, end func()) {
	c = &client{guard: g, class: class, name: r.RemoteAddr}
	interrupter := &requestInterrupter{controller: http.NewResponseController(w)}
	c.interruptRead = interrupter.interrupt
	g.openRequest(c)
	return c, func() {
		interrupter.end()
		g.close(c)
	}
}

// requestInterrupter makes the reads of a request's body fail until its handler ends, after which the HTTP library's writer must not be used.
type requestInterrupter struct {
	mutex      sync.Mutex
	controller *http.ResponseController
}

func (i *requestInterrupter) interrupt() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.controller != nil {
		_ = i.controller.SetReadDeadline(pastTime)
	}
}

func (i *requestInterrupter) end() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.controller = nil
}

// budgetedBody takes the bytes of a body from the budget before it reads them.
type budgetedBody struct {
	io.ReadCloser
	client *client
}

// Read reads the next bytes.
func (b *budgetedBody) Read(p []byte) (int, error) {
	p = p[:min(len(p), bodyStepSize)]
	size := int64(len(p)) * peerBodyFactor
	if !b.client.take(size) {
		return 0, errBudgetExceeded
	}
	n, err := b.ReadCloser.Read(p)
	b.client.give(size - int64(n)*peerBodyFactor)
	b.client.moved(n)
	if err == io.EOF {
		b.client.enterPhase(budgeter.PhaseRunning)
	}
	return n, err
}
