package tracer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// serviceName is the service name of the spans and the name of their tracer.
const serviceName = "redwingpick"

// ErrCollector is returned when no exporter can be created for the address of the trace collector.
var ErrCollector = merry.New("trace collector address is not usable")

// Settings holds the destinations of spans: Collector is the address of an OTLP collector, and Lines gets one text line per span. Spans
// without a destination are dropped.
type Settings struct {
	Host      string
	Collector string
	Lines     io.Writer
}

// Start sets the process-wide tracer provider and returns the function that shuts it down.
func Start(ctx context.Context, settings Settings) (stop func(context.Context) error, err error) {
	attributes := attribute.NewSet(attribute.String("service.name", serviceName), attribute.String("host.id", settings.Host))
	options := []trace.TracerProviderOption{trace.WithResource(resource.NewSchemaless(attributes.ToSlice()...))}
	if settings.Collector != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(settings.Collector), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, merry.Wrap(ErrCollector, merry.WithCause(err))
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	if settings.Lines != nil {
		options = append(options, trace.WithSyncer(&lineExporter{out: settings.Lines, host: settings.Host}))
	}
	provider := trace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return provider.Shutdown, nil
}

// StartSpan starts the span of one hop of a request; the caller must end the span.
func StartSpan(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(serviceName).Start(ctx, name, oteltrace.WithAttributes(attributes...))
}

// Extract returns ctx with the remote span context from the headers.
func Extract(ctx context.Context, header http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the context of the current span to the headers.
func Inject(ctx context.Context, header http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
}

// lineExporter writes one line per span.
type lineExporter struct {
	out   io.Writer
	host  string
	mutex sync.Mutex
}

// ExportSpans writes a line for each span.
func (e *lineExporter) ExportSpans(_ context.Context, spans []trace.ReadOnlySpan) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, s := range spans {
		duration := s.EndTime().Sub(s.StartTime()).Round(time.Microsecond)
		line := fmt.Sprintf("span trace=%s id=%s parent=%s host=%s hop=%q took=%s", s.SpanContext().TraceID(), s.SpanContext().SpanID(),
			s.Parent().SpanID(), e.host, s.Name(), duration)
		for _, a := range s.Attributes() {
			line += fmt.Sprintf(" %s=%s", a.Key, a.Value.String())
		}
		if _, err := fmt.Fprintln(e.out, line); err != nil {
			return err
		}
	}
	return nil
}

// Shutdown does nothing.
func (e *lineExporter) Shutdown(context.Context) error { return nil }
