// Package jayport defines the ports of the job service: the interfaces to the platform's
// store, the workers, the fleet's inventory and the placement advisor. The types do not
// depend on a platform; an adapter translates them into a platform's names, formats and
// requests.
package jayport
