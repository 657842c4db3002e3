// Package placer decides how many backend servers hold an adapter at the same time, which ones, and which of them a request tries first.
package placer
