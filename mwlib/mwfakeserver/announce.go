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

// DefaultTTL is how long an announcement is valid without renewal.
const DefaultTTL = 3 * time.Second

// Parameters of announcements.
const (
	announcePath    = "/mw/announce"
	announceTimeout = time.Second
	renewalsPerTTL  = 3
	// maxFirstAttempts is the maximum number of attempts at the first
	// announcement if the node does not answer within announceTimeout. On a
	// busy machine a node may take many times that long to start.
	maxFirstAttempts = 30
)

// announcement is the body of a backend server's announcement to its node.
type announcement struct {
	Service     mwid.ServiceName
	Address     mwid.Address
	Slots       mwunit.Slots
	Connections mwunit.Connections
	Labels      mwlabel.Set `json:",omitempty"`
	TTL         mwconfig.Duration
	Leaving     bool
}

// announcer sends announcements to a node.
type announcer struct {
	client *http.Client
	node   mwid.Address
}

// put sends the announcement a.
func (n *announcer) put(ctx context.Context, a announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("announcing: encoding: %w", err)
	}
	return n.do(ctx, http.MethodPut, "", b)
}

// putFirst sends the first announcement a. It tries again after a time-out.
func (n *announcer) putFirst(ctx context.Context, a announcement) error {
	var err error
	for range maxFirstAttempts {
		if err = n.put(ctx, a); !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
	return err
}

// withdraw withdraws the announcement of service s.
func (n *announcer) withdraw(ctx context.Context, s mwid.ServiceName) error {
	return n.do(ctx, http.MethodDelete, "?Service="+url.QueryEscape(string(s)), nil)
}

func (n *announcer) do(ctx context.Context, method, query string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	to := "http://" + string(n.node) + announcePath + query
	req, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announcing: %w", err)
	}
	res, err := n.client.Do(req)
	if err != nil {
		return fmt.Errorf("announcing: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("announcing: reading response: %w", err)
	}
	if res.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcing: node answered %s: %s", res.Status, bytes.TrimSpace(text))
	}
	return nil
}

// renew announces the current state renewalsPerTTL times per TTL until stop is
// closed. A failed renewal is not retried before the next one is due.
func (s *Server) renew(stop <-chan struct{}) {
	for wait(s.set.ttl/renewalsPerTTL, stop) {
		if err := s.announcer.put(context.Background(), s.announcement()); err != nil {
			slog.Debug("failed to renew announcement", "Service", s.service, "Error", err)
		}
	}
}
