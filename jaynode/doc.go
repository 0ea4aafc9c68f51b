// Package jaynode implements an entry, which is one server of the job service. It runs a
// goroutine for each of these: reading the declarations of the operators, the claims of
// duties and the heartbeats of the workers, claiming duties, running each pool that the
// entry owns and the fleet, and answering callers and peers.
package jaynode
