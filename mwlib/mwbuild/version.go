// Package mwbuild reports the release and the source revision that a program
// was built from.
package mwbuild

import "runtime/debug"

// Release is the release under development in this source tree.
const Release = "0.1.0"

// String returns the release and, if the build recorded it, the VCS revision of
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
