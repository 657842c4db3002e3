// Package tracer records a trace span for each hop of a request.
package tracer
