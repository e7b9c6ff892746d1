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

// checkInterval is the time between two looks at the files.
const checkInterval = time.Second

// Source gives the certificate that stands in two files. It looks for a
// change of either file at most once a checkPeriod, when a connection asks;
// files that can't be read leave the certificate as it was.
type Source struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	loaded    modTimes
	lastCheck time.Time
}

// modTimes tells whether the files changed.
type modTimes struct {
	cert, key time.Time
}

// New returns the Source of two PEM files, which must be readable now.
func New(certFile, keyFile string) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile}
	st, err := s.statFiles()
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
	if now.Sub(s.lastCheck) < checkInterval {
		return s.cert
	}
	s.lastCheck = now
	if st, err := s.statFiles(); err == nil && st != s.loaded {
		s.load(st)
	}
	return s.cert
}

func (s *Source) statFiles() (modTimes, error) {
	c, err := os.Stat(s.certFile)
	if err != nil {
		return modTimes{}, fmt.Errorf("mwcert: %w", err)
	}
	k, err := os.Stat(s.keyFile)
	if err != nil {
		return modTimes{}, fmt.Errorf("mwcert: %w", err)
	}
	return modTimes{c.ModTime(), k.ModTime()}, nil
}

func (s *Source) load(st modTimes) error {
	c, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return fmt.Errorf("mwcert: %w", err)
	}
	s.cert, s.loaded = &c, st
	return nil
}
