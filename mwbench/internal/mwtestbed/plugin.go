package mwtestbed

import (
	// Register the plug-ins of a node.
	_ "mustardwheel.example/mwlib/mwadmit"
	_ "mustardwheel.example/mwlib/mwclaim"
	_ "mustardwheel.example/mwlib/mwclass"
	_ "mustardwheel.example/mwlib/mwmember"
	_ "mustardwheel.example/mwlib/mwretry"
	_ "mustardwheel.example/mwlib/mwroute"
	_ "mustardwheel.example/mwlib/mwversion"
)
