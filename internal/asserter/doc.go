// Package asserter checks what must always hold of the state of one host and of the effects that it decides.
package asserter
