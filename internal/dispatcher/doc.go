// Package dispatcher sends requests and orders to backend servers and reads their reports.
//
// Requests use connections of its own rather than net/http's client: a response on a reused connection may belong to an earlier
// request and has to be skipped, and whether any byte of a request was written decides whether the request may have run. net/http's
// client exposes neither.
package dispatcher
