// Package throttler bounds the requests that one backend server gets from all hosts together, where each host knows only part of the fleet.
//
// A few hosts, the senders of the server, each take an equal share of a fixed part of its rate; the others send it nothing. A sender holds a
// Gate, which opens empty, so that neither a restart nor a change of the senders adds requests. A host decides alone that it is a sender, so
// more hosts than intended may take themselves for senders. If m hosts have open gates when a time t begins, and n hosts have them on average
// over t, all hosts send at most
//
//	m + n x share x t
//
// requests in t. Those that reach the server within the window of a Bound were sent within the window and the longest transit, which is the t
// that counts. Divide chooses the number of senders so that the bound holds with at least twice as many of them: where two sides of the fleet
// do not know each other, and during a change of the senders at all hosts at once. Where every host lacks a part of the fleet of its own, the
// number of hosts that take themselves for senders varies, and Divide leaves room for that, which makes an excess rare but not impossible.
// Three or more sides that do not know each other can break the bound. Hosts that know almost no others do, each taking itself for a sender:
// keep their gates closed until they have heard from the fleet.
package throttler
