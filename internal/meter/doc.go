// Package meter keeps latency histograms for monitoring.
package meter
