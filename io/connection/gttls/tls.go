// Package gttls makes the mutual TLS of links between nodes, from files that
// are read again when they change.
//
// # Usage
//
//	keys := &gttls.Keys{Cert: "node.pem", Key: "node.key", CA: "ca.pem"}
//	listener = tls.NewListener(listener, keys.Config())
//	conn = tls.Client(conn, keys.Config())
//
// Peers are known by a certificate that the CA file signed, not by a host
// name, since nodes are addressed by IP numbers.
package gttls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Keys names the files. Its fields are set before use.
type Keys struct {
	// Cert, Key and CA are PEM files.
	Cert, Key, CA string

	mu    sync.Mutex
	stamp time.Time
	pair  *tls.Certificate
	pool  *x509.CertPool
}

// Config returns the configuration of either end.
func (k *Keys) Config() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // verified below, by CA and not by name
		VerifyPeerCertificate: k.verify,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.certificate() },
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.certificate() },
	}
}

// Check reads the files and says what is wrong with them.
func (k *Keys) Check() error {
	_, err := k.certificate()
	return err
}

func (k *Keys) certificate() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.load(); err != nil {
		return nil, err
	}
	return k.pair, nil
}

// load reads the files if one has changed. Files that can't be read leave the
// ones read before in use.
func (k *Keys) load() error {
	stamp, err := newest(k.Cert, k.Key, k.CA)
	if err == nil && k.pair != nil && stamp.Equal(k.stamp) {
		return nil
	}
	if err == nil {
		err = k.read()
	}
	if err != nil && k.pair == nil {
		return err
	}
	k.stamp = stamp
	return nil
}

func newest(files ...string) (time.Time, error) {
	var stamp time.Time
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			return stamp, errorx.Decorate(err, "find a TLS file")
		}
		if info.ModTime().After(stamp) {
			stamp = info.ModTime()
		}
	}
	return stamp, nil
}

func (k *Keys) read() error {
	pair, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return errorx.Decorate(err, "read the node's certificate and key")
	}
	text, err := os.ReadFile(k.CA)
	if err != nil {
		return errorx.Decorate(err, "read the CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return errorx.IllegalFormat.New("%s holds no certificate", k.CA)
	}
	k.pair, k.pool = &pair, pool
	return nil
}

func (k *Keys) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	if len(raw) == 0 {
		return errorx.IllegalFormat.New("peer sent no certificate")
	}
	certs := make([]*x509.Certificate, len(raw))
	for i, b := range raw {
		c, err := x509.ParseCertificate(b)
		if err != nil {
			return errorx.Decorate(err, "read the peer's certificate")
		}
		certs[i] = c
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.load(); err != nil {
		return err
	}
	between := x509.NewCertPool()
	for _, c := range certs[1:] {
		between.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{Roots: k.pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return errorx.Decorate(err, "verify the peer's certificate")
	}
	return nil
}
