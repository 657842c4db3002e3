// Package dispatcher carries requests and orders to backend servers over HTTP.
package dispatcher
