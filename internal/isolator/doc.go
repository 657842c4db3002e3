// Package isolator finds the content of requests that crashes the servers which process it, from the crashes that the hosts of a fleet
// observe, and quarantines it. It keeps plain state without I/O; the hosts exchange their suspects.
package isolator
