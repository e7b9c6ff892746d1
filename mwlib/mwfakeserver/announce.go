package mwfakeserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"mustardwheel.example/mwlib/mwconfig"
	"mustardwheel.example/mwlib/mwid"
	"mustardwheel.example/mwlib/mwlabel"
	"mustardwheel.example/mwlib/mwunit"
)

// DefaultTTL is how long an announcement holds without renewal.
const DefaultTTL = 3 * time.Second

// Bounds of announcing.
const (
	announcePath    = "/mw/announce"
	announceTimeout = time.Second
	renewalsPerTTL  = 3
	// firstTries is how often a node that does not answer is asked at the
	// start: on a busy machine it may take many times as long.
	firstTries = 30
)

// announcement is what a backend server tells its node.
type announcement struct {
	Service     mwid.ServiceName
	Address     mwid.Address
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set `json:",omitempty"`
	TTL         mwconfig.Duration
	Leaving     bool
}

// announcer keeps one announcement renewed.
type announcer struct {
	client *http.Client
	node   mwid.Address
}

// put announces a.
func (n *announcer) put(ctx context.Context, a announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("announcing: %w", err)
	}
	return n.do(ctx, http.MethodPut, "", b)
}

// first announces a at the start.
func (n *announcer) first(ctx context.Context, a announcement) error {
	var err error
	for range firstTries {
		if err = n.put(ctx, a); !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
	return err
}

// withdraw takes back the announcement of s.
func (n *announcer) withdraw(ctx context.Context, s mwid.ServiceName) error {
	return n.do(ctx, http.MethodDelete, "?Service="+url.QueryEscape(string(s)), nil)
}

func (n *announcer) do(ctx context.Context, method, query string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	to := "http://" + string(n.node) + announcePath + query
	q, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announcing: %w", err)
	}
	res, err := n.client.Do(q)
	if err != nil {
		return fmt.Errorf("announcing: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("announcing: %w", err)
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcing: %s: %s", res.Status, bytes.TrimSpace(text))
	}
	return nil
}

// renew announces the present state each part of the TTL until stop is
// closed. A node that is away is asked again the next time.
func (s *Server) renew(stop <-chan struct{}) {
	for wait(s.set.ttl/renewalsPerTTL, stop) {
		if err := s.announcer.put(context.Background(), s.announcement()); err != nil {
			slog.Debug("not announced", "Service", s.service, "Error", err)
		}
	}
}
