// Package exerciser runs a whole fleet of reducers in virtual time under random faults, and checks what must always hold.
package exerciser
