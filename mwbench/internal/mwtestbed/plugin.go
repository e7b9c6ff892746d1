package mwtestbed

import (
	// Registers the plug-ins of a node.
	_ "mustardwheel.example/mwlib/mwstandard"
)
