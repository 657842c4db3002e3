// Package listener serves callers, the directory, peer hosts and operators.
package listener
