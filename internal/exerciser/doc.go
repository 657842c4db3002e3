// Package exerciser runs many reducers in virtual time against modelled engines, services and a modelled platform.
//
// It is one small fake at the interfaces of the reducer: randomised tests use it to bring about failures, and the
// measuring command uses it to compare policies.
package exerciser
