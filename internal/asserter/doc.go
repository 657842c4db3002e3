// Package asserter checks invariants of the state and the effects after each event, in tests and in production.
package asserter
