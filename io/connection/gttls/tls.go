// Package gttls configures mutual TLS between nodes from PEM files, which it
// reloads when they change.
//
// # Usage
//
//	keys := &gttls.Keys{Cert: "node.pem", Key: "node.key", CA: "ca.pem"}
//	listener = tls.NewListener(listener, keys.Config())
//	conn = tls.Client(conn, keys.Config())
//
// A peer is authenticated by a certificate that a CA of the CA file has signed.
// Host names are not checked, since nodes are addressed by IP address.
package gttls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Credentials holds the paths of the certificate files and caches their contents. Its
// exported fields are set before use.
type Credentials struct {
	// CertFile, Key and CA are the paths of PEM files: the node's certificate, its
	// private key, and the CA certificates that peers are verified against.
	CertFile, KeyFile, CAFile string

	mu      sync.Mutex
	modTime time.Time
	keyPair *tls.Certificate
	roots   *x509.CertPool
}

// Config returns a configuration for both servers and clients.
func (k *Credentials) Config() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // verify checks the certificate against the CA, without the host name
		VerifyPeerCertificate: k.verify,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.certificate() },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.certificate() },
	}
}

// Check loads the files and returns an error if that fails. Once they have been
// loaded, files that have become unreadable are no error.
func (k *Credentials) Check() error {
	_, err := k.certificate()
	return err
}

func (k *Credentials) certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.reloadIfChanged(); err != nil {
		return nil, err
	}
	return k.keyPair, nil
}

// reloadIfChanged reads the files if one of them has changed. If that fails, the
// contents that were loaded before stay in use.
func (k *Credentials) reloadIfChanged() error {
	modTime, err := latestModTime(k.CertFile, k.KeyFile, k.CAFile)
	if err == nil && k.keyPair != nil && modTime.Equal(k.modTime) {
		return nil
	}
	if err == nil {
		err = k.readFiles()
	}
	if err != nil && k.keyPair == nil {
		return err
	}
	k.modTime = modTime
	return nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(files ...string) (time.Time, error) {
	var modTime time.Time
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return modTime, errorx.Decorate(err, "get the modification time of a TLS file")
		}
		if info.ModTime().After(modTime) {
			modTime = info.ModTime()
		}
	}
	return modTime, nil
}

func (k *Credentials) readFiles() error {
	keyPair, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return errorx.Decorate(err, "load the node's certificate and key")
	}
	caPEM, err := os.ReadFile(k.CAFile)
	if err != nil {
		return errorx.Decorate(err, "read the CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return errorx.IllegalFormat.New("CA file %s contains no certificate", k.CAFile)
	}
	k.keyPair, k.roots = &keyPair, roots
	return nil
}

// verify checks the peer's certificate chain against the CA file.
func (k *Credentials) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return errorx.IllegalFormat.New("peer sent no certificate")
	}
	certs := make([]*x509.Certificate, len(raw))
	for i, b := range raw {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return errorx.Decorate(err, "parse the peer's certificate")
		}
		certs[i] = c
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.reloadIfChanged(); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{Roots: k.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return errorx.Decorate(err, "verify the peer's certificate")
	}
	return nil
}
