// Package mwprofiles embeds the profiles of the current users' systems.
package mwprofiles

import "embed"

// Files holds one file NAME.json per profile, as read by mwprofile.Load.
//
//go:embed *.json
var Files embed.FS
