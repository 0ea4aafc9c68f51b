// Package jayport holds the ports of the job service: what it asks of the
// platform's store, of workers, of the fleet's inventory and of the placement
// advisor. The types are the project's own; an adapter translates them into a
// platform's names, formats and calls.
package jayport
