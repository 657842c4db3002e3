// Package hasher ranks names for a key by rendezvous hashing.
package hasher
