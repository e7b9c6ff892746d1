// Package mwfakeserver provides a fake backend server for tests and
// benchmarks. It has slots, a queue, classes of work, stragglers, slow periods
// and cold starts. It announces itself to its node, calls other services
// through that node, and keeps a record of the calls that it ran.
package mwfakeserver
