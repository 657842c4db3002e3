// Package selector holds the policies that choose among backend servers and adapters.
package selector
