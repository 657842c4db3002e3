// Package limiter holds token buckets whose level and outstanding grants together never exceed the burst.
package limiter
