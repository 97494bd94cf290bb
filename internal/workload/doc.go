// Package workload holds seeded workloads for the benchmarks of the decision
// packages: keys with Zipf loads and moving hot keys, lives of a set of servers
// that join, drain, freeze and are lost, baseline policies to compare with, and
// a queueing model for services that are not divided by key.
//
// It models loads and owners only, no messages and no processes. The same seed
// gives the same figures.
package workload
