package mwhost

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwmemory"
	"mustardwheel.example/mwlib/mwsetting"
	"mustardwheel.example/mwlib/mwunit"
)

// limits are the shares of a process's memory and descriptors. 0 means unlimited.
type limits struct {
	entryConns    mwunit.Connections // callers' connections
	localConns    mwunit.Connections // connections of this VM's backend server
	operatorConns mwunit.Connections // connections of each of the admin, control and ready listeners
	heldMemory    mwunit.Bytes       // memory for requests beyond mwmemory.Allowance
	receiveBuffer mwunit.Bytes       // operating system's buffer for bytes that a caller sent
}

// Shares of the memory of the process. What remains is for the state of the node,
// garbage between two collections and the buffers of the operating system.
const (
	connsMemoryShare = 0.36
	heldMemoryShare  = 0.12
	// connMemory is the memory of a connection: its goroutines and buffers, its
	// allowance, and what was received and not read.
	connMemory = 16<<10 + mwmemory.Allowance + receiveBuffer
	// receiveBuffer holds a usual request, and bounds what clients can send while
	// their call is in progress.
	receiveBuffer mwunit.Bytes = 16 << 10
)

// Shares of the descriptors that are left for sockets. What remains is for
// connections from other nodes and for all outgoing ones.
const (
	entryShare = 0.4
	localShare = 0.2
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// minSocketShare is the least part of the descriptors that is left for sockets.
	minSocketShare = 0.5
	operatorConns  = 64
)

// limitsOf returns the limits that follow from the settings.
func limitsOf(set *mwsetting.Node) limits {
	memory := float64(set.Place.Memory * mwunit.MB)
	sockets := socketsOf(set.Place.Descriptors)
	shares := entryShare
	if set.Listen.Local != "" {
		shares += localShare
	}
	// The callers and the backend server share the memory for connections in
	// proportion to their descriptors.
	conns := func(share float64) mwunit.Connections {
		n := share * sockets
		if memory > 0 {
			n = min(n, share/shares*connsMemoryShare*memory/float64(connMemory))
		}
		return mwunit.Connections(max(n, 1))
	}
	l := limits{
		entryConns: conns(entryShare), localConns: conns(localShare), operatorConns: operatorConns,
		heldMemory: mwunit.Bytes(heldMemoryShare * memory),
	}
	if memory > 0 {
		l.receiveBuffer = receiveBuffer
	}
	return l
}

// listenTCP opens a listener whose connections have receive buffers of the given
// size, or of the operating system's size if it is 0.
func listenTCP(addr mwid.Address, buffer mwunit.Bytes) (net.Listener, error) {
	var lc net.ListenConfig
	if buffer > 0 {
		lc.Control = func(_, _ string, rc syscall.RawConn) error {
			return rc.Control(func(fd uintptr) {
				// If the option is not supported, the operating system's size applies.
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(buffer))
			})
		}
	}
	return lc.Listen(context.Background(), "tcp", string(addr))
}

// socketsOf returns the number of sockets of a process that may have n open
// descriptors, or as many as the operating system allows if n is 0.
func socketsOf(n mwunit.Descriptors) float64 {
	if n == 0 {
		n = descriptorLimit()
	}
	return max(float64(n-reservedDescriptors), minSocketShare*float64(n))
}

// descriptorLimit returns the operating system's limit on the open descriptors of
// this process.
func descriptorLimit() mwunit.Descriptors {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return defaultDescriptors
	}
	return mwunit.Descriptors(min(l.Cur, maxDescriptors))
}

const (
	// defaultDescriptors is the usual limit, for systems that do not tell theirs.
	defaultDescriptors = 1024
	// maxDescriptors stands for any greater limit, such as none.
	maxDescriptors = 1 << 20
)
