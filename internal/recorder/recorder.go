package recorder

import (
	"fmt"
	"io"

	"github.com/phuslu/log"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// Recorder writes numbered events as JSON lines; its exported fields are set before its first use.
type Recorder struct {
	Out    io.Writer
	Host   string
	Level  log.Level
	logger *log.Logger
}

// Record writes one event of the catalogue.
func (r *Recorder) Record(number int, fields ...reducer.Field) {
	if r.logger == nil {
		r.logger = &log.Logger{Level: r.Level, Writer: &log.IOWriter{Writer: r.Out}, TimeFormat: log.TimeFormatUnixMs}
	}
	entry, ok := Find(number)
	if !ok {
		entry = Entry{Number: number, Level: log.WarnLevel, Text: "unlisted event"}
	}
	line := r.logger.WithLevel(entry.Level)
	line = line.Int("event", entry.Number).Str("host", r.Host)
	for _, f := range fields {
		line = line.Str(f.Name, f.Value)
	}
	line.Msg(entry.Text)
}

// LibraryWriter turns the messages of go-zero's logger into numbered events.
type LibraryWriter struct {
	Recorder *Recorder
}

// UseForLibrary makes go-zero log through the recorder.
func (r *Recorder) UseForLibrary() {
	logx.DisableStat()
	logx.SetWriter(LibraryWriter{Recorder: r})
}

func (w LibraryWriter) write(level string, v any) {
	w.Recorder.Record(EventLibrary, reducer.Field{Name: "library_level", Value: level}, reducer.Field{Name: "text", Value: fmt.Sprint(v)})
}

// Alert records an alert of the library.
func (w LibraryWriter) Alert(v any) { w.write("alert", v) }

// Close does nothing.
func (w LibraryWriter) Close() error { return nil }

// Debug records a debug message of the library.
func (w LibraryWriter) Debug(v any, _ ...logx.LogField) { w.write("debug", v) }

// Error records an error of the library.
func (w LibraryWriter) Error(v any, _ ...logx.LogField) { w.write("error", v) }

// Info drops the library's informative messages, which repeat each request.
func (w LibraryWriter) Info(any, ...logx.LogField) {}

// Severe records a severe error of the library.
func (w LibraryWriter) Severe(v any) { w.write("severe", v) }

// Slow drops the library's remarks on slow calls, since streams are slow by nature.
func (w LibraryWriter) Slow(any, ...logx.LogField) {}

// Stack records a stack trace of the library.
func (w LibraryWriter) Stack(v any) { w.write("stack", v) }

// Stat drops the library's statistics.
func (w LibraryWriter) Stat(any, ...logx.LogField) {}
