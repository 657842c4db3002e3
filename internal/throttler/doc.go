// Package throttler bounds the requests that one backend server gets from all hosts together, where each host knows only part of the fleet.
//
// A few hosts, the senders of the server, each take a fixed part of its rate; the others send it nothing. A sender holds a Gate, which opens
// empty, so that neither a restart nor a change of the senders adds requests: in any time t, the hosts that take themselves for senders send
// at most
//
//	Senders x Burst + n x Fraction / Senders x rate x t
//
// where n is how many of them there are at once, on average over that time. With Fraction at half of what the server bears, the bound holds
// as long as n is at most twice Senders: during a change of the senders at all hosts at once, or where every host knows only half of the fleet.
package throttler
