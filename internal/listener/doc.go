// Package listener serves callers, other hosts and operators, and turns what they send into events.
package listener
