// Package mwstandard registers all plug-ins of the system, for programs whose
// settings choose among them.
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
