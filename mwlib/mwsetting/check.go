package mwsetting

import (
	"errors"
	"net/netip"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// checker gathers the faults of settings.
type checker struct{ errs []error }

func (c *checker) must(ok bool, flag, expected string) {
	if !ok {
		c.errs = append(c.errs, mwcode.New(mwcode.BadSetting,
			mwcode.Field("--"+flag), mwcode.Expected(expected)))
	}
}

// address wants "IP:port" with a numeric IP.
func (c *checker) address(a mwid.Address, flag string) {
	_, err := netip.ParseAddrPort(string(a))
	c.must(err == nil, flag, `"IP:port" with a numeric IP, not "`+string(a)+`"`)
}

// loopback wants an address that only this VM reaches.
func (c *checker) loopback(a mwid.Address, flag string) {
	ap, err := netip.ParseAddrPort(string(a))
	c.must(err == nil && ap.Addr().IsLoopback(), flag, `a loopback "IP:port", not "`+string(a)+`"`)
}

func (c *checker) ratio(r mwunit.Ratio, flag string) {
	c.must(r >= 0 && r <= 1, flag, "0 to 1")
}

func (c *checker) positive(d time.Duration, flag string) {
	c.must(d > 0, flag, "a duration above 0")
}

// Bounds of sizes in bytes.
const (
	minHeaderBytes mwunit.Bytes = 4 << 10
	maxHeaderBytes mwunit.Bytes = 1 << 20
	maxBuffer      mwunit.Bytes = 16 << 20
)

// Check returns every fault of n, joined; each has the code
// mwcode.BadSetting and names the flag and what was expected.
func (n *Node) Check() error {
	var c checker
	c.must(n.Place.Zone != "", "zone", "the name of an availability zone")
	c.must(n.Place.Region != "", "region", "the name of a region")
	c.listen(n.Listen)
	if n.Store.Address != "" {
		c.address(n.Store.Address, "store.address")
	}
	c.positive(n.Store.Timeout, "store.timeout")
	for _, a := range n.Member.Join {
		c.address(a, "member.join")
	}
	c.positive(n.Member.Period, "member.period")
	c.must(n.Admit.Queue >= 0, "admit.queue", "at least 0")
	c.ratio(n.Route.EjectRatio, "route.eject-ratio")
	c.ratio(n.Retry.TokenRatio, "retry.token-ratio")
	c.relay(n.Relay)
	return errors.Join(c.errs...)
}

func (c *checker) listen(l Listen) {
	c.address(l.Entry, "entry")
	c.loopback(l.Local, "local")
	c.address(l.Peer, "peer")
	c.address(l.Admin, "admin")
	c.must((l.CertFile == "") == (l.KeyFile == ""), "tls-cert", "both --tls-cert and --tls-key, or none")
}

func (c *checker) relay(r Relay) {
	c.must(r.Buffer >= 0 && r.Buffer <= maxBuffer, "relay.buffer", "0 to 16777216 bytes")
	c.must(r.HeaderBytes >= minHeaderBytes && r.HeaderBytes <= maxHeaderBytes,
		"relay.header-bytes", "4096 to 1048576 bytes")
	c.positive(r.Idle, "relay.idle")
	c.positive(r.Drain, "relay.drain")
}
