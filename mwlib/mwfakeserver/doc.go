// Package mwfakeserver is a stand-in for a backend server: it has slots, a
// queue, classes of work, stragglers, slow spells and cold starts, announces
// itself to its node, calls other services through that node, and keeps a
// record of what it ran.
package mwfakeserver
