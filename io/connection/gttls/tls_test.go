package gttls_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"godwittide/io/connection/gttls"
	"godwittide/io/process/gtcluster"
)

// issue writes the files of a node whose certificate is signed by a new CA.
func issue(t *testing.T, dir string) *gttls.Credentials {
	t.Helper()
	g := gomega.NewWithT(t)
	authority, err := gtcluster.NewAuthority()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	files, err := authority.Issue(dir)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return &gttls.Credentials{CertFile: files.Cert, KeyFile: files.Key, CAFile: files.CA}
}

// exchangeBytes opens a connection with the two configurations and sends a byte
// in each direction.
func exchangeBytes(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := tls.NewListener(ln, server).Accept()
		if err == nil {
			defer conn.Close()
			_, err = conn.Read(make([]byte, 1))
			_, _ = conn.Write([]byte("x"))
		}
		done <- err
	}()
	conn, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err == nil {
		defer conn.Close()
		_, _ = conn.Write([]byte("x"))
		_, err = conn.Read(make([]byte, 1))
	}
	if serverErr := <-done; err == nil {
		err = serverErr
	}
	return err
}

func TestPeersNeedACertificateOfTheSameCA(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, theirs := issue(t, t.TempDir()), issue(t, t.TempDir())
	g.Expect(exchangeBytes(t, ours.Config(), ours.Config())).To(gomega.Succeed())
	g.Expect(exchangeBytes(t, ours.Config(), theirs.Config())).NotTo(gomega.Succeed(), "client certificate of another CA")
	g.Expect(exchangeBytes(t, ours.Config(), &tls.Config{InsecureSkipVerify: true})).NotTo(gomega.Succeed(), "no client certificate")
	g.Expect(exchangeBytes(t, theirs.Config(), ours.Config())).NotTo(gomega.Succeed(), "server certificate of another CA")
}

func TestChangedFilesAreReloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	ours := issue(t, dir)
	g.Expect(ours.Check()).To(gomega.Succeed())
	fresh := issue(t, dir)
	later := time.Now().Add(2 * time.Second)
	for _, f := range []string{ours.CertFile, ours.KeyFile, ours.CAFile} {
		g.Expect(os.Chtimes(f, later, later)).To(gomega.Succeed())
	}
	g.Expect(exchangeBytes(t, ours.Config(), fresh.Config())).To(gomega.Succeed())
	g.Expect(os.WriteFile(ours.CertFile, []byte("broken"), 0o600)).To(gomega.Succeed())
	g.Expect(ours.Check()).To(gomega.Succeed(), "the loaded certificate stays in use")
	g.Expect((&gttls.Credentials{CertFile: ours.CertFile, KeyFile: ours.KeyFile, CAFile: ours.CAFile}).Check()).NotTo(gomega.Succeed())
}

// An operator who puts earlier files back, with their times, gets them.
func TestFilesReplacedByOlderOnesAreReloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	ours := issue(t, dir)
	g.Expect(ours.Check()).To(gomega.Succeed())
	fresh := issue(t, dir)
	earlier := time.Now().Add(-time.Hour)
	for _, f := range []string{ours.CertFile, ours.KeyFile} {
		g.Expect(os.Chtimes(f, earlier, earlier)).To(gomega.Succeed())
	}
	later := time.Now().Add(time.Hour)
	g.Expect(os.Chtimes(ours.CAFile, later, later)).To(gomega.Succeed())
	g.Expect(ours.Check()).To(gomega.Succeed())
	g.Expect(exchangeBytes(t, ours.Config(), fresh.Config())).To(gomega.Succeed())
	again := issue(t, dir)
	g.Expect(os.Chtimes(ours.CAFile, later, later)).To(gomega.Succeed())
	for _, f := range []string{ours.CertFile, ours.KeyFile} {
		g.Expect(os.Chtimes(f, earlier.Add(-time.Hour), earlier.Add(-time.Hour))).To(gomega.Succeed())
	}
	g.Expect(exchangeBytes(t, ours.Config(), again.Config())).To(gomega.Succeed(), "certificate and key are older than the CA file")
}
