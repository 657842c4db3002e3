// Package selector holds the policies that vary: placement, queue order, eviction, load order and token shares.
package selector
