// Package exerciser simulates a fleet of hosts in virtual time under fault injection and checks invariants that must always hold.
//
// A run is determined by its seed: all random draws come from seeded sources, and their results depend on the order of the draws.
package exerciser
