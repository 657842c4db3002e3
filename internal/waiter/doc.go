// Package waiter waits without spinning.
package waiter
