// Package mwstandard registers the plug-ins of mwlib, for programs whose
// settings choose among them. It registers no store and no dialect: package
// platform registers its own, and package mwhttp the default dialect.
package mwstandard

import (
	_ "mustardwheel.example/mwlib/mwadmit"
	_ "mustardwheel.example/mwlib/mwclaim"
	_ "mustardwheel.example/mwlib/mwclass"
	_ "mustardwheel.example/mwlib/mwmember"
	_ "mustardwheel.example/mwlib/mwretry"
	_ "mustardwheel.example/mwlib/mwroute"
	_ "mustardwheel.example/mwlib/mwversion"
)
