// Package workload provides seeded simulations for the benchmarks of packages placement and choice:
// keys with Zipf-distributed load and changing hot keys, servers that join, drain, fail and return,
// baseline policies for comparison, and a queueing model of services without keys.
//
// It models only loads and owners, no messages or processes. The same seed gives the same results,
// except for measured times.
package workload
