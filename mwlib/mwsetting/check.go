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

func (c *checker) must(ok bool, flag, expected string) {
	if !ok {
		c.errs = append(c.errs, mwcode.New(mwcode.BadSetting,
			mwcode.Field("--"+flag), mwcode.Expected(expected)))
	}
}

// address requires "IP:port" with a numeric IP.
func (c *checker) address(a mwid.Address, flag string) {
	_, err := netip.ParseAddrPort(string(a))
	c.must(err == nil, flag, `"IP:port" with a numeric IP, not "`+string(a)+`"`)
}

// optional requires "IP:port" or an empty address.
func (c *checker) optional(a mwid.Address, flag string) {
	if a != "" {
		c.address(a, flag)
	}
}

// loopback requires an address that is reachable only from this VM.
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

// Limits of sizes in bytes.
const (
	minHeaderBytes mwunit.Bytes = 4 << 10
	maxHeaderBytes mwunit.Bytes = 1 << 20
	maxBuffer      mwunit.Bytes = 16 << 20
)

// maxChain is the maximum number of retries of a whole request.
const maxChain mwunit.Attempts = 100

// Check returns an error for each invalid setting of n, joined by errors.Join.
// Each has the code mwcode.BadSetting and names the flag and the expected
// value.
func (n *Node) Check() error {
	var c checker
	c.must(n.Place.Zone != "", "zone", "the name of an availability zone")
	c.must(n.Place.Region != "", "region", "the name of a region")
	c.must(n.Place.Memory >= 0, "memory", "at least 0")
	c.listen(n.Listen)
	c.store(n.Store)
	c.member(n.Member)
	c.admit(n.Admit)
	c.route(n.Route)
	c.retry(n.Retry)
	c.claim(n.Claim)
	c.relay(n.Relay)
	return errors.Join(c.errs...)
}

// Check returns an error for each invalid setting of r, like Node.Check.
func (r Route) Check() error {
	var c checker
	c.route(r)
	return errors.Join(c.errs...)
}

func (c *checker) store(s Store) {
	if s.Address != "" {
		c.address(s.Address, "store.address")
	}
	c.positive(s.Timeout, "store.timeout")
	c.must(s.Reads > 0, "store.reads", "a rate above 0")
	c.must(s.Writes > 0, "store.writes", "a rate above 0")
}

func (c *checker) member(m Member) {
	for _, a := range m.Join {
		c.address(a, "member.join")
	}
	c.positive(m.Period, "member.period")
	c.must(m.Rate > 0, "member.rate", "a rate above 0 bytes per second")
}

func (c *checker) admit(a Admit) {
	c.must(a.Queue >= 0, "admit.queue", "at least 0")
	c.positive(a.Wait, "admit.wait")
	c.ratio(a.SlotShare, "admit.slot-share")
	c.ratio(a.MediumShare, "admit.medium-share")
	c.ratio(a.LongShare, "admit.long-share")
	c.must(a.LongShare <= a.MediumShare, "admit.long-share", "not above --admit.medium-share")
	c.positive(a.MediumAfter, "admit.medium-after")
	c.must(a.LongAfter >= a.MediumAfter, "admit.long-after", "not below --admit.medium-after")
}

func (c *checker) route(r Route) {
	c.ratio(r.EjectRatio, "route.eject-ratio")
	c.ratio(r.FarRatio, "route.far-ratio")
	c.must(r.SlowFactor >= 1, "route.slow-factor", "at least 1")
	c.must(r.Warmup >= 0, "route.warmup", "at least 0s")
}

func (c *checker) retry(r Retry) {
	c.ratio(r.TokenRatio, "retry.token-ratio")
	c.ratio(r.WindowRatio, "retry.window-ratio")
	c.ratio(r.WindowShare, "retry.window-share")
	c.positive(r.Window, "retry.window")
	c.must(r.Chain >= 0 && r.Chain <= maxChain, "retry.chain", "0 to 100")
	c.must(r.TokenReserve >= 0, "retry.token-reserve", "at least 0")
	c.must(r.CallerReserve >= 0, "retry.caller-reserve", "at least 0")
}

func (c *checker) claim(s Claim) {
	c.positive(s.Window, "claim.window")
	c.must(s.Batch >= 1, "claim.batch", "at least 1")
	c.must(s.Lanes >= 1, "claim.lanes", "at least 1")
	c.must(s.Writers >= 0, "claim.writers", "at least 0")
	c.must(s.Inline >= 0, "claim.inline", "at least 0 bytes")
}

func (c *checker) listen(l Listen) {
	c.address(l.Entry, "entry")
	if l.Local != "" {
		c.loopback(l.Local, "local")
	}
	c.optional(l.Reach, "reach")
	c.optional(l.Control, "control")
	c.optional(l.Ready, "ready")
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
	c.must(r.Margin >= 0, "relay.margin", "at least 0s")
}
