// Package reducer makes every decision of a host: Reduce applies one event to the State and returns the effects as data.
//
// The package does no I/O and reads no clock, so the same events at the same times produce the same effects.
//
// Its main notions are:
//
//   - A host is one member of the fleet that runs this program, and an incarnation is one run of it. Hosts exchange their records and
//     heartbeats by gossip. A host is reachable while its heartbeat increases, and active while it is reachable and does not drain.
//   - The voter set is the set of hosts that vote on leases. It is bootstrapped by the first hosts; a new host is promoted to voter after a
//     delay, and a voter that is unreachable for long is evicted.
//   - Holders keep the counts of accepted orders of the watched backend servers moving (keepalive.go). A host that finds no voter set bootstraps
//     one only once those counts stand still (observation.go), since other hosts may live behind a partition.
//   - A lease belongs to one backend server. Its holder is the only host that sends the server orders. The host that ranks first claims the
//     lease, a quorum of its voters grants it for a short time, and the holder renews it. A lease has a term, and a fence that is higher
//     than the fences of earlier holders.
//   - An order tells a backend server to load or unload an adapter, or to load a model. The inventory is what the holder knows of the
//     adapters on the server, each of which takes a slot, and of the loads that are pending.
//   - Residency is how far an adapter is loaded on a backend server. Hosts send adapter requests to the lease holder, which replies with
//     residency updates. An adapter is verified resident once a response or a report of the backend server has shown it.
//   - A quota is a limit for all hosts together on the usage of a client account or on the loads of models. The quota coordinator, the
//     active host that ranks first for the quota, grants tokens to the hosts, which spend them on requests.
//   - An attempt that makes no progress is stalled. It ends only if another backend server can take the request at once, since its own may be slow
//     but sound.
//   - A backend server that has started or recovered is in slow start (ramp.go): all hosts together have a limited number of requests waiting for
//     their first response there, which follows from how the server answers.
//   - Content is what requests share: an adapter in its version, and parts of prompts. Content whose requests crash one backend server after the
//     other is quarantined: all hosts refuse requests with it for a time.
//   - The configuration service is the part of the users' platform that publishes documents: the catalogue, the entries of backend servers,
//     withdrawn failure domains and adapter versions. Each change has a revision; it is significant if other hosts need to know it. A few
//     hosts read the configuration service, and the others read the documents from their peers. Documents are confirmed up to date for a
//     time if no newer revision was published by then.
//
// Hosts and backend servers are ranked by rendezvous hashing, so hosts that know the same candidates choose the same one.
package reducer
