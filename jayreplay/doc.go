// Package jayreplay is a discrete-event simulation of the schedulers in jaysched and
// jayfleet. It runs in simulated time and within one process: jobs arrive, workers run
// their tasks, and hosts move between pools. The result says how many jobs met their
// objective and how many instance-seconds that took. The same load always gives the
// same result.
package jayreplay
