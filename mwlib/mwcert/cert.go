// Package mwcert serves a TLS certificate from files and reloads it without a
// restart when the files change.
package mwcert

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Source provides the certificate in two PEM files. When a connection asks for
// the certificate, Source compares the files' modification times with those of
// the loaded files, at most once per checkInterval, and reloads the files after
// a change. If they cannot be read, Source keeps the present certificate.
type Source struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	loaded    modTimes
	lastCheck time.Time
}

// modTimes holds the modification times of the files, by which changes are
// detected.
type modTimes struct {
	cert, key time.Time
}

// New returns a Source for two PEM files. It fails if they cannot be read.
func New(certFile, keyFile string) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile}
	st, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	return s, s.load(st)
}

// Config returns the TLS configuration of a listener that uses s.
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
