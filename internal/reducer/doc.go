// Package reducer makes every decision of a host: Reduce applies one event to the State and returns the effects as data.
//
// The package does no I/O and reads no clock, so the same events at the same times produce the same effects.
package reducer
