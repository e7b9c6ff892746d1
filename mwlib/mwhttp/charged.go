package mwhttp

import (
	"io"

	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwunit"
)

// memoryPerHeldByte is the memory in bytes for each byte of a body that is held. The
// buffer of a body grows by doubling.
const memoryPerHeldByte = 2

// chargedReader reads a body that is to be held in memory and charges it.
type chargedReader struct {
	r      io.Reader
	memory *mwmemory.Account
}

// Read reads from the body. It returns the bytes read with mwmemory.ErrFull if there
// is no memory for them.
func (c *chargedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if cerr := c.memory.Charge(memoryPerHeldByte * mwunit.Bytes(n)); cerr != nil {
		return n, cerr
	}
	return n, err
}
