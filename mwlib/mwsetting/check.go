package mwsetting

import (
	"errors"
	"net/netip"
	"time"

	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwunit"
)

// checker collects the errors of invalid settings.
type checker struct{ errs []error }

func (c *checker) require(ok bool, flag, expected string) {
	if !ok {
		c.errs = append(c.errs, mwcode.New(mwcode.BadSetting,
			mwcode.Field("--"+flag), mwcode.Expected(expected)))
	}
}

// requireAddress requires "IP:port" with a numeric IP.
func (c *checker) requireAddress(a mwid.Address, flag string) {
	_, err := netip.ParseAddrPort(string(a))
	c.require(err == nil, flag, `"IP:port" with a numeric IP, not "`+string(a)+`"`)
}

// requireOptionalAddress requires "IP:port" or an empty address.
func (c *checker) requireOptionalAddress(a mwid.Address, flag string) {
	if a != "" {
		c.requireAddress(a, flag)
	}
}

// requireLoopback requires an address that is reachable only from this VM.
func (c *checker) requireLoopback(a mwid.Address, flag string) {
	ap, err := netip.ParseAddrPort(string(a))
	c.require(err == nil && ap.Addr().IsLoopback(), flag, `a loopback "IP:port", not "`+string(a)+`"`)
}

func (c *checker) requireRatio(r mwunit.Ratio, flag string) {
	c.require(r >= 0 && r <= 1, flag, "0 to 1")
}

func (c *checker) requirePositive(d time.Duration, flag string) {
	c.require(d > 0, flag, "a duration above 0")
}

// Limits of sizes in bytes.
const (
	minHeaderBytes mwunit.Bytes = 4 << 10
	maxHeaderBytes mwunit.Bytes = 1 << 20
	maxBuffer      mwunit.Bytes = 16 << 20
)

// maxChainRetries is the maximum of Retry.Chain, the retries of a root call and
// all calls below it.
const maxChainRetries mwunit.Attempts = 100

// Check returns an error for each invalid setting of n, joined by errors.Join.
// Each has the code mwcode.BadSetting and names the flag and the expected
// value.
func (n *Node) Check() error {
	var c checker
	c.require(n.Place.Zone != "", "zone", "the name of an availability zone")
	c.require(n.Place.Region != "", "region", "the name of a region")
	c.require(n.Place.Memory >= 0, "memory", "at least 0")
	c.require(n.Place.Descriptors >= 0, "descriptors", "at least 0")
	c.checkListen(n.Listen)
	c.checkStore(n.Store)
	c.checkMember(n.Member)
	c.checkAdmit(n.Admit)
	c.checkRoute(n.Route)
	c.checkRetry(n.Retry)
	c.checkClaim(n.Claim)
	c.checkRelay(n.Relay)
	return errors.Join(c.errs...)
}

// Check returns an error for each invalid setting of r, like Node.Check.
func (r Route) Check() error {
	var c checker
	c.checkRoute(r)
	return errors.Join(c.errs...)
}

func (c *checker) checkStore(s Store) {
	if s.Address != "" {
		c.requireAddress(s.Address, "store.address")
	}
	c.requirePositive(s.Timeout, "store.timeout")
	c.require(s.Reads > 0, "store.reads", "a rate above 0")
	c.require(s.Writes > 0, "store.writes", "a rate above 0")
}

func (c *checker) checkMember(m Member) {
	for _, a := range m.Join {
		c.requireAddress(a, "member.join")
	}
	c.require(m.Spread >= 0, "member.spread", "at least 0s")
	c.requirePositive(m.Period, "member.period")
	c.require(m.Rate > 0, "member.rate", "a rate above 0 bytes per second")
}

func (c *checker) checkAdmit(a Admit) {
	c.require(a.Queue >= 0, "admit.queue", "at least 0")
	c.requirePositive(a.Wait, "admit.wait")
	c.requireRatio(a.SlotShare, "admit.slot-share")
	c.requireRatio(a.MediumShare, "admit.medium-share")
	c.requireRatio(a.LongShare, "admit.long-share")
	c.require(a.LongShare <= a.MediumShare, "admit.long-share", "not above --admit.medium-share")
	c.requirePositive(a.MediumAfter, "admit.medium-after")
	c.require(a.LongAfter >= a.MediumAfter, "admit.long-after", "not below --admit.medium-after")
}

func (c *checker) checkRoute(r Route) {
	c.requireRatio(r.EjectRatio, "route.eject-ratio")
	c.requireRatio(r.FarRatio, "route.far-ratio")
	c.require(r.SlowFactor >= 1, "route.slow-factor", "at least 1")
	c.require(r.Warmup >= 0, "route.warmup", "at least 0s")
}

func (c *checker) checkRetry(r Retry) {
	c.requireRatio(r.TokenRatio, "retry.token-ratio")
	c.requireRatio(r.WindowRatio, "retry.window-ratio")
	c.requireRatio(r.WindowShare, "retry.window-share")
	c.requirePositive(r.Window, "retry.window")
	c.require(r.Chain >= 0 && r.Chain <= maxChainRetries, "retry.chain", "0 to 100")
	c.require(r.TokenReserve >= 0, "retry.token-reserve", "at least 0")
	c.require(r.CallerReserve >= 0, "retry.caller-reserve", "at least 0")
}

func (c *checker) checkClaim(s Claim) {
	c.requirePositive(s.Window, "claim.window")
	c.require(s.Batch >= 1, "claim.batch", "at least 1")
	c.require(s.Lanes >= 1, "claim.lanes", "at least 1")
	c.require(s.Writers >= 0, "claim.writers", "at least 0")
	c.require(s.Inline >= 0, "claim.inline", "at least 0 bytes")
}

func (c *checker) checkListen(l Listen) {
	c.requireAddress(l.Entry, "entry")
	if l.Local != "" {
		c.requireLoopback(l.Local, "local")
	}
	c.requireOptionalAddress(l.Reach, "reach")
	c.requireOptionalAddress(l.Control, "control")
	c.requireOptionalAddress(l.Ready, "ready")
	c.requireAddress(l.Peer, "peer")
	c.requireAddress(l.Admin, "admin")
	c.require((l.CertFile == "") == (l.KeyFile == ""), "tls-cert", "both --tls-cert and --tls-key, or none")
}

func (c *checker) checkRelay(r Relay) {
	c.require(r.Buffer >= 0 && r.Buffer <= maxBuffer, "relay.buffer", "0 to 16777216 bytes")
	c.require(r.HeaderBytes >= minHeaderBytes && r.HeaderBytes <= maxHeaderBytes,
		"relay.header-bytes", "4096 to 1048576 bytes")
	c.requirePositive(r.Idle, "relay.idle")
	c.require(r.Grace == 0 || r.Grace > ExitTime, "relay.grace", "above "+ExitTime.String()+", or 0s if unknown")
	c.requirePositive(r.Drain, "relay.drain")
	c.require(r.Margin >= 0, "relay.margin", "at least 0s")
}
