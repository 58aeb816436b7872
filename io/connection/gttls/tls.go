// Package gttls configures mutual TLS between nodes from PEM files, which it
// reloads when they change.
//
// # Usage
//
//	creds := &gttls.Credentials{CertFile: "node.pem", KeyFile: "node.key", CAFile: "ca.pem"}
//	listener = tls.NewListener(listener, creds.Config())
//	conn = tls.Client(conn, creds.Config())
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

// Credentials holds the paths of the certificate files and caches their
// contents. Its exported fields are set before use.
type Credentials struct {
	// CertFile, KeyFile and CAFile are the paths of PEM files: the node's
	// certificate, its private key, and the CA certificates that peers are verified
	// against.
	CertFile, KeyFile, CAFile string

	mu      sync.Mutex
	files   [fileCount]fileState
	keyPair *tls.Certificate
	roots   *x509.CertPool
}

// fileCount is the number of files of Credentials.
const fileCount = 3

// fileState tells whether a file has been replaced, also by an older one.
type fileState struct {
	modTime time.Time
	size    int64
}

// Config returns a configuration for both servers and clients.
func (creds *Credentials) Config() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // verify checks the certificate against the CA, without the host name
		VerifyPeerCertificate: creds.verify,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return creds.certificate() },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return creds.certificate() },
	}
}

// Check loads the files and returns an error if that fails. Once they have been
// loaded, files that have become unreadable are no error.
func (creds *Credentials) Check() error {
	_, err := creds.certificate()
	return err
}

// certificate returns the node's certificate and key. It first reloads the files if
// they have changed.
func (creds *Credentials) certificate() (*tls.Certificate, error) {
	creds.mu.Lock()
	defer creds.mu.Unlock()
	if err := creds.reloadIfChanged(); err != nil {
		return nil, err
	}
	return creds.keyPair, nil
}

// reloadIfChanged reads the files if the modification time or the size of one has
// changed. If that fails, the contents that were loaded before stay in use. The
// caller holds the lock.
func (creds *Credentials) reloadIfChanged() error {
	files, err := creds.fileStates()
	if err == nil && creds.keyPair != nil && files == creds.files {
		return nil
	}
	if err == nil {
		err = creds.readFiles()
	}
	if err != nil && creds.keyPair == nil {
		return err
	}
	creds.files = files
	return nil
}

// fileStates returns the present state of each file.
func (creds *Credentials) fileStates() ([fileCount]fileState, error) {
	var states [fileCount]fileState
	for i, f := range [fileCount]string{creds.CertFile, creds.KeyFile, creds.CAFile} {
		info, err := os.Stat(f)
		if err != nil {
			return states, errorx.Decorate(err, "get the modification time of a TLS file")
		}
		states[i] = fileState{modTime: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

// readFiles loads the contents of the files. It changes nothing if it fails.
func (creds *Credentials) readFiles() error {
	keyPair, err := tls.LoadX509KeyPair(creds.CertFile, creds.KeyFile)
	if err != nil {
		return errorx.Decorate(err, "load the node's certificate and key")
	}
	caPEM, err := os.ReadFile(creds.CAFile)
	if err != nil {
		return errorx.Decorate(err, "read the CA file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return errorx.IllegalFormat.New("CA file %s contains no certificate", creds.CAFile)
	}
	creds.keyPair, creds.roots = &keyPair, roots
	return nil
}

// verify checks the peer's certificate chain against the certificates of the CA
// file.
func (creds *Credentials) verify(raw [][]byte, _ [][]*x509.Certificate) error {
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
	creds.mu.Lock()
	defer creds.mu.Unlock()
	if err := creds.reloadIfChanged(); err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, c := range certs[1:] {
		intermediates.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{Roots: creds.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return errorx.Decorate(err, "verify the peer's certificate")
	}
	return nil
}
