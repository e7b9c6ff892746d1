package mwclaim_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcall"
	"mustardwheel.example/mwlib/mwclaim"
	"mustardwheel.example/mwlib/mwcode"
	"mustardwheel.example/mwlib/mwfakestore"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwrpc"
)

// eventTimeout limits waits for events that must occur. It is long because the
// test does not check speed.
const eventTimeout = time.Minute

// Rows must reach their writer through the codec that nodes use. The connections
// are not part of virtual time, so this test runs in real time.
func TestGroupOverRPC(t *testing.T) {
	c := qt.New(t)
	s, stop := mwfakestore.New()
	c.Cleanup(stop)
	var addrs []mwid.Address
	var peers []*mwrpc.Peers
	for range 2 {
		p, stopPeers := mwrpc.New()
		c.Cleanup(stopPeers)
		srv := httptest.NewServer(p)
		c.Cleanup(srv.Close)
		peers = append(peers, p)
		addrs = append(addrs, mwid.Address(strings.TrimPrefix(srv.URL, "http://")))
	}
	set := metrics.NewSet()
	var ledgers []*mwclaim.Ledger
	for i, p := range peers {
		other := []mwid.Address{addrs[1-i]}
		l, stopLedger, err := mwclaim.New(s, mwclaim.WithMetrics(set), mwclaim.WithTimeout(eventTimeout),
			mwclaim.WithGroup(p, addrs[i], func() []mwid.Address { return other }, 1),
			mwclaim.WithGroupWait(eventTimeout))
		c.Assert(err, qt.IsNil)
		c.Cleanup(stopLedger)
		ledgers = append(ledgers, l)
	}
	for i, l := range ledgers {
		k := mwid.CallKey(rune('a' + i))
		cl, err := l.Claim(c.Context(), newCall(k, true))
		c.Assert(err, qt.IsNil)
		c.Assert(cl.Begin(), qt.IsNil)
		_, err = ledgers[1-i].Claim(c.Context(), newCall(k, false))
		c.Assert(mwcode.CodeOf(err), qt.Equals, mwcode.Held)
		c.Assert(cl.Finish(c.Context(), mwcall.EncodedAnswer("answer")), qt.IsNil)
	}
	c.Assert(set.GetOrCreateCounter("mw_claim_grouped_total").Get(), qt.Equals, uint64(2))
	c.Assert(set.GetOrCreateCounter("mw_claim_writer_silent_total").Get(), qt.Equals, uint64(0))
}
