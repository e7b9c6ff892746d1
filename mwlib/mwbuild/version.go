// Package mwbuild tells which build of the programs this is.
package mwbuild

import "runtime/debug"

// Release is the release that this source is on the way to.
const Release = "0.1.0"

// String returns the release and, where the build knows it, the revision of
// the source.
func String() string {
	s := "mustardwheel " + Release
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return s
	}
	for _, v := range info.Settings {
		if v.Key == "vcs.revision" {
			return s + " " + v.Value
		}
	}
	return s
}
