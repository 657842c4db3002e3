// Package cataloguer holds the published catalogue: its entries, shards, checks and differences.
package cataloguer
