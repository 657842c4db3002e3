// Package dispatcher exchanges requests, orders and reports with backend servers.
//
// It keeps its own connections: an answer on a kept connection may belong to an earlier request, and must be discarded and read
// on, and whether a byte of a request has left decides what may be said of it. net/http's client shows neither.
package dispatcher
