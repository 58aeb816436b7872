package gtcluster

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
	"time"

	"github.com/joomcode/errorx"

	"godwittide/io/process/gtsettings"
)

// Authority is a certificate authority that issues the certificates of nodes.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	der  []byte
}

// NewAuthority returns a new self-signed authority, valid for an hour. It returns
// an error if key generation or signing fails.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errorx.Decorate(err, "generate the authority's key")
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		return nil, errorx.Decorate(err, "sign the authority's certificate")
	}
	return &Authority{key: key, cert: cert, der: der}, nil
}

// Issue generates a node's key and certificate, valid for an hour, and writes
// them and the authority's certificate to dir. It returns the paths of the files,
// or an error if generating, signing or writing fails.
func (a *Authority) Issue(dir string) (gtsettings.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return gtsettings.TLS{}, errorx.Decorate(err, "generate a node's key")
	}
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return gtsettings.TLS{}, errorx.Decorate(err, "sign a node's certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return gtsettings.TLS{}, errorx.Decorate(err, "encode a node's key")
	}
	files := gtsettings.TLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	for _, f := range []struct {
		path, kind string
		der        []byte
	}{{files.Cert, "CERTIFICATE", der}, {files.Key, "EC PRIVATE KEY", keyDER}, {files.CA, "CERTIFICATE", a.der}} {
		if err := os.WriteFile(f.path, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der}), 0o600); err != nil {
			return gtsettings.TLS{}, errorx.Decorate(err, "write %s", f.path)
		}
	}
	return files, nil
}
