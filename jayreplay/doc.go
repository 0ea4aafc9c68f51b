// Package jayreplay is a discrete-event simulation of the schedulers in jaysched and
// jayfleet. It runs in simulated time and within one process: jobs arrive, workers run
// their tasks, and hosts move between pools. The result states how many jobs met their
// objective and for how many instance-seconds instances were on. The same load always
// gives the same result.
package jayreplay
