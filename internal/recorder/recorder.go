package recorder

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

const (
	// flushInterval is the time from the first buffered line to when Run writes out the lines, and so the longest time that a line waits.
	flushInterval = 100 * time.Millisecond
	// maxBufferedBytes is the number of buffered bytes above which lines are dropped because the log's reader is slow.
	maxBufferedBytes = 256 << 10
	// closeTimeout is how long Close waits for a slow reader to take the last lines.
	closeTimeout = 200 * time.Millisecond
	// maxLibraryText is the length in bytes to which messages of the HTTP library are truncated, since they may quote data that a server sent.
	maxLibraryText = 512
	// routinePercent is the percentage of the budget that lines of routine events may use.
	routinePercent = 50
)

// Recorder writes numbered events as JSON lines. Record never blocks on the log's reader. Exported fields must be set before the first use.
type Recorder struct {
	Out   io.Writer
	Host  string
	Level log.Level
	// BytesPerSecond limits the bytes written per second; 0 means no limit.
	BytesPerSecond int

	once sync.Once
	// buffered receives a value when the first line is buffered after a flush.
	buffered      chan struct{}
	mutex         sync.Mutex
	logger        *log.Logger
	pending       []byte
	currentSecond int64
	// spentBytes is the number of bytes recorded in the current second.
	spentBytes int
	// unreported is the number of dropped lines that no EventLinesDropped has counted yet.
	unreported   int
	droppedTotal uint64
	flushing     bool
}

func (r *Recorder) setUp() { r.buffered = make(chan struct{}, 1) }

// Record buffers one event of the catalogue, or counts the event as dropped if the budget of this second is exhausted.
func (r *Recorder) Record(number int, fields ...reducer.Field) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry, ok := Find(number)
	if !ok {
		entry = Entry{Number: number, Level: log.WarnLevel, Text: "unlisted event"}
	}
	if entry.Level < r.Level {
		return
	}
	r.startSecond()
	if !r.hasBudget(entry.Routine) {
		r.unreported++
		r.droppedTotal++
		return
	}
	r.write(entry, fields)
}

// startSecond starts a new budget each second and records how many lines were dropped since the last such record.
func (r *Recorder) startSecond() {
	second := time.Now().Unix()
	if second == r.currentSecond {
		return
	}
	r.currentSecond = second
	r.spentBytes = 0
	if r.unreported > 0 {
		dropped := r.unreported
		r.unreported = 0
		entry, _ := Find(EventLinesDropped)
		r.write(entry, []reducer.Field{{Name: "lines", Value: fmt.Sprint(dropped)}})
	}
}

// Dropped returns the number of lines dropped since the start.
func (r *Recorder) Dropped() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.droppedTotal
}

func (r *Recorder) hasBudget(routine bool) bool {
	if len(r.pending) > maxBufferedBytes {
		return false
	}
	budget := r.BytesPerSecond
	if routine {
		budget = budget * routinePercent / 100
	}
	return r.BytesPerSecond <= 0 || r.spentBytes < budget
}

func (r *Recorder) write(entry Entry, fields []reducer.Field) {
	r.once.Do(r.setUp)
	if len(r.pending) == 0 {
		select {
		case r.buffered <- struct{}{}:
		default:
		}
	}
	if r.logger == nil {
		r.logger = &log.Logger{Level: r.Level, Writer: &log.IOWriter{Writer: pendingWriter{r}}, TimeFormat: log.TimeFormatUnixMs}
	}
	line := r.logger.WithLevel(entry.Level)
	line = line.Int("event", entry.Number).Str("host", r.Host)
	for _, f := range fields {
		if f.Value != "" {
			line = line.Str(f.Name, f.Value)
		}
	}
	line.Msg(entry.Text)
}

// pendingWriter appends lines to the pending bytes of a Recorder, whose mutex the caller holds.
type pendingWriter struct {
	recorder *Recorder
}

// Write appends one line and charges its length to the budget.
func (w pendingWriter) Write(p []byte) (int, error) {
	w.recorder.pending = append(w.recorder.pending, p...)
	w.recorder.spentBytes += len(p)
	return len(p), nil
}

// Run writes out buffered lines flushInterval after the first of them until ctx is done, and then the rest. It sleeps while there are none.
func (r *Recorder) Run(ctx context.Context) {
	r.once.Do(r.setUp)
	defer r.Flush()
	delay := time.NewTimer(flushInterval)
	defer delay.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.buffered:
		}
		delay.Reset(flushInterval)
		select {
		case <-ctx.Done():
			return
		case <-delay.C:
			r.Flush()
		}
	}
}

// Flush writes the buffered lines to Out, unless another Flush is in progress; lines that Out does not accept are lost.
func (r *Recorder) Flush() {
	r.mutex.Lock()
	if r.flushing || len(r.pending) == 0 {
		r.mutex.Unlock()
		return
	}
	lines := r.pending
	r.pending = nil
	r.flushing = true
	r.mutex.Unlock()
	_, _ = r.Out.Write(lines)
	r.mutex.Lock()
	r.flushing = false
	r.mutex.Unlock()
}

// Close writes out the last lines and returns after closeTimeout even if the reader has not taken them.
func (r *Recorder) Close() {
	done := make(chan struct{})
	go func() {
		r.Flush()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
	}
}

// LibraryWriter records the messages of go-zero's logger as numbered events.
type LibraryWriter struct {
	Recorder *Recorder
}

// CaptureLibraryLog redirects the process-wide log of go-zero to the recorder.
func (r *Recorder) CaptureLibraryLog() {
	logx.DisableStat()
	logx.SetWriter(LibraryWriter{Recorder: r})
}

func (w LibraryWriter) write(level string, v any) {
	text := fmt.Sprint(v)
	text = strings.ToValidUTF8(text[:min(len(text), maxLibraryText)], "")
	w.Recorder.Record(EventLibraryMessage, reducer.Field{Name: "library_level", Value: level}, reducer.Field{Name: "text", Value: text})
}

// Alert records an alert of the library.
func (w LibraryWriter) Alert(v any) { w.write("alert", v) }

// Close does nothing.
func (w LibraryWriter) Close() error { return nil }

// Debug records a debug message of the library.
func (w LibraryWriter) Debug(v any, _ ...logx.LogField) { w.write("debug", v) }

// Error records an error of the library.
func (w LibraryWriter) Error(v any, _ ...logx.LogField) { w.write("error", v) }

// Info drops informational messages of the library, which has one for each request.
func (w LibraryWriter) Info(any, ...logx.LogField) {}

// Severe records a severe error of the library.
func (w LibraryWriter) Severe(v any) { w.write("severe", v) }

// Slow drops the library's messages about slow calls, since streamed responses always take long.
func (w LibraryWriter) Slow(any, ...logx.LogField) {}

// Stack records a stack trace of the library.
func (w LibraryWriter) Stack(v any) { w.write("stack", v) }

// Stat drops statistics of the library.
func (w LibraryWriter) Stat(any, ...logx.LogField) {}

// Adjust changes the level and the budget; it may be called while the recorder is in use.
func (r *Recorder) Adjust(level log.Level, bytesPerSecond int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Level = level
	r.BytesPerSecond = bytesPerSecond
	if r.logger != nil {
		r.logger.Level = level
	}
}
