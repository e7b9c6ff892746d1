package mwcert_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"mustardwheel.example/mwlib/mwcert"
)

// write writes a new certificate for name into dir, with modification time t.
func write(c *qt.C, dir, name string, t time.Time) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	cert, err := x509.CreateCertificate(rand.Reader,
		&x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}},
		&x509.Certificate{SerialNumber: big.NewInt(1)}, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	der, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(c, certFile, "CERTIFICATE", cert, t)
	writePEM(c, keyFile, "EC PRIVATE KEY", der, t)
	return certFile, keyFile
}

func writePEM(c *qt.C, file, kind string, der []byte, t time.Time) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	c.Assert(os.WriteFile(file, b, 0o600), qt.IsNil)
	c.Assert(os.Chtimes(file, t, t), qt.IsNil)
}

// servedName returns the common name of the certificate that s serves.
func servedName(c *qt.C, s *mwcert.Source) string {
	cert, err := s.Config().GetCertificate(nil)
	c.Assert(err, qt.IsNil)
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	c.Assert(err, qt.IsNil)
	return leaf.Subject.CommonName
}

func TestNewFilesAreTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := c.TempDir()
		start := time.Now()
		s, err := mwcert.New(write(c, dir, "first", start))
		c.Assert(err, qt.IsNil)
		c.Assert(servedName(c, s), qt.Equals, "first")

		write(c, dir, "second", start.Add(time.Hour))
		time.Sleep(2 * time.Second)
		c.Assert(servedName(c, s), qt.Equals, "second")

		// Files that are invalid or missing leave the certificate unchanged.
		writePEM(c, filepath.Join(dir, "cert.pem"), "CERTIFICATE", []byte("x"), start.Add(2*time.Hour))
		time.Sleep(2 * time.Second)
		c.Assert(servedName(c, s), qt.Equals, "second")
		c.Assert(os.Remove(filepath.Join(dir, "key.pem")), qt.IsNil)
		time.Sleep(2 * time.Second)
		c.Assert(servedName(c, s), qt.Equals, "second")
	})
}

func TestMissingFiles(t *testing.T) {
	c := qt.New(t)
	_, err := mwcert.New("none.pem", "none.pem")
	c.Assert(err, qt.ErrorMatches, `mwcert: .*none\.pem.*`)
}
