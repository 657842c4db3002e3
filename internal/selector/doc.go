// Package selector provides the policies that choose among backend servers and the decaying use counts of adapters.
package selector
