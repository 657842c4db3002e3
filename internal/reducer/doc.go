// Package reducer decides for one host: Reduce takes each event into the State and returns effects as plain data.
//
// It does no input or output, reads no clock, starts no goroutine and draws random numbers only from its State, so
// the same events give the same effects.
package reducer
