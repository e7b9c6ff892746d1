// Package mwcert serves a TLS certificate from files and takes up new files
// without a restart.
package mwcert

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkPeriod is the time between two looks at the files.
const checkPeriod = time.Second

// Source gives the certificate that stands in two files. It looks for a
// change of either file at most once a checkPeriod, when a connection asks;
// files that can't be read leave the certificate as it was.
type Source struct {
	certFile, keyFile string

	mu      sync.Mutex
	cert    *tls.Certificate
	stamp   stamp
	checked time.Time
}

// stamp tells whether the files changed.
type stamp struct {
	cert, key time.Time
}

// New returns the Source of two PEM files, which must be readable now.
func New(certFile, keyFile string) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile}
	st, err := s.look()
	if err != nil {
		return nil, err
	}
	return s, s.load(st)
}

// Config returns the settings of a TLS listener that uses s.
func (s *Source) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.certificate(time.Now()), nil
		},
	}
}

func (s *Source) certificate(now time.Time) *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.checked) < checkPeriod {
		return s.cert
	}
	s.checked = now
	if st, err := s.look(); err == nil && st != s.stamp {
		s.load(st)
	}
	return s.cert
}

func (s *Source) look() (stamp, error) {
	c, err := os.Stat(s.certFile)
	if err != nil {
		return stamp{}, fmt.Errorf("mwcert: %w", err)
	}
	k, err := os.Stat(s.keyFile)
	if err != nil {
		return stamp{}, fmt.Errorf("mwcert: %w", err)
	}
	return stamp{c.ModTime(), k.ModTime()}, nil
}

func (s *Source) load(st stamp) error {
	c, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return fmt.Errorf("mwcert: %w", err)
	}
	s.cert, s.stamp = &c, st
	return nil
}
