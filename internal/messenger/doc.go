// Package messenger sends envelopes of control messages to other hosts and reads configuration updates from them.
package messenger
