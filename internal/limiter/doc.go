// Package limiter provides token buckets, sums over sliding windows and decaying rates.
package limiter
