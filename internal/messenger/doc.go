// Package messenger carries envelopes, configuration updates and forwarded requests to other hosts.
package messenger
