// Package jaywire holds the wire types of jaythread: log records, snapshots
// and peer messages. The types are generated from jaywire.proto and committed,
// so that a build needs no generator; `make generate` writes them anew.
package jaywire
