// Package mwprofiles holds the sizes of the users of today as files.
package mwprofiles

import "embed"

// Files are the profiles, one "NAME.json" each.
//
//go:embed *.json
var Files embed.FS
