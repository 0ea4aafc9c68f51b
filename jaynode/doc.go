// Package jaynode assembles an entry of the job service from its duties, a
// goroutine each: following the operators' declarations, the owners and the
// workers' reports, claiming duties, running the pools that it owns, and
// answering callers and peers.
package jaynode
