// Package queuer holds queues that share service among lanes by weighted virtual time.
package queuer
