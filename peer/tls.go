package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// protocolName is the ALPN protocol name. Its number is raised when messages
// change incompatibly.
const protocolName = "mimosakeel/1"

// serverName is the DNS name that every peer certificate carries. Peers are
// addressed by IP, so this name shows that the certificate belongs to a peer, and
// the common name identifies the VM.
const serverName = "peer.mimosakeel"

// ServerName returns the DNS name that a peer certificate must carry.
func ServerName() string { return serverName }

// credentials are a certificate and the CA pool that were loaded together.
type credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Keys holds the peer certificate and the CA. Reload replaces both; open
// connections keep the keys of their handshake, so a reload interrupts no stream.
type Keys struct {
	caFile, certFile, keyFile string
	current                   atomic.Pointer[credentials]
	// pinned returns the trusted fingerprint of a VM's certificate. If set, it
	// replaces the CA; see NewPinnedKeys.
	pinned func(vm string) (Fingerprint, bool)
}

// LoadKeys reads the CA, the certificate and the key from PEM files.
func LoadKeys(caFile, certFile, keyFile string) (*Keys, error) {
	k := &Keys{caFile: caFile, certFile: certFile, keyFile: keyFile}
	return k, k.Reload()
}

// NewKeys returns Keys for a certificate and CA pool in memory; their Reload does
// nothing.
func NewKeys(cert tls.Certificate, pool *x509.CertPool) *Keys {
	k := &Keys{}
	k.current.Store(&credentials{cert: cert, pool: pool})
	return k
}

// Reload reads the files again. On error the current keys stay in use.
func (k *Keys) Reload() error {
	if k.caFile == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(k.certFile, k.keyFile)
	if err != nil {
		return eris.Wrapf(err, "peer certificate %s", k.certFile)
	}
	pem, err := os.ReadFile(k.caFile)
	if err != nil {
		return eris.Wrapf(err, "peer CA %s", k.caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("peer CA %s holds no certificate", k.caFile)
	}
	k.current.Store(&credentials{cert: cert, pool: pool})
	return nil
}

func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := k.current.Load()
			return k.pin(&tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{c.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    c.pool,
				NextProtos:   []string{protocolName},
			}), nil
		},
		NextProtos: []string{protocolName},
	}
}

func (k *Keys) clientConfig() *tls.Config {
	c := k.current.Load()
	return k.pin(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		RootCAs:      c.pool,
		ServerName:   serverName,
		NextProtos:   []string{protocolName},
	})
}
