// Package reducer makes every decision of a host: Reduce takes one event into the State and returns effects as data.
//
// It does no input or output and reads no clock, so the same events at the same times give the same effects.
package reducer
