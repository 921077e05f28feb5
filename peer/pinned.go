package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"
)

// pinnedValidity is the validity of a certificate that is trusted by its
// fingerprint. Only the fingerprint is verified; the validity period is not,
// because wall clocks may jump.
const pinnedValidity = 365 * 24 * time.Hour

// Fingerprint is the SHA-256 hash of a DER-encoded certificate.
type Fingerprint [sha256.Size]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewPinnedKeys creates a self-signed certificate for this process and returns
// it with its fingerprint. A peer is trusted if pinned, called with the VM that
// its certificate names, returns the fingerprint of that certificate. pinned must
// be safe for concurrent use.
func NewPinnedKeys(vm string, pinned func(vm string) (Fingerprint, bool)) (*Keys, Fingerprint, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Fingerprint{}, eris.Wrap(err, "peer key")
	}
	template, err := newTemplate(vm, pinnedValidity)
	if err != nil {
		return nil, Fingerprint{}, err
	}
	template.DNSNames = []string{serverName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, Fingerprint{}, eris.Wrap(err, "peer certificate")
	}
	k := NewKeys(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil)
	k.pinned = pinned
	return k, sha256.Sum256(der), nil
}

// verifyPin returns an error unless the certificate of the connection is pinned
// for the VM that it names.
func (k *Keys) verifyPin(state tls.ConnectionState) error {
	vm := commonName(state)
	want, ok := k.pinned(vm)
	if !ok {
		return eris.Errorf("peer %q is not a known member", vm)
	}
	if sha256.Sum256(state.PeerCertificates[0].Raw) != want {
		return eris.Errorf("certificate of peer %q is not the pinned one", vm)
	}
	return nil
}

// pin changes a TLS configuration to trust pinned certificates only. It returns
// the configuration unchanged if the keys use a CA.
func (k *Keys) pin(c *tls.Config) *tls.Config {
	if k.pinned == nil {
		return c
	}
	// A self-signed certificate has no chain to verify; verifyPin compares its
	// fingerprint instead.
	c.InsecureSkipVerify = true
	c.VerifyConnection = k.verifyPin
	if c.ClientAuth == tls.RequireAndVerifyClientCert {
		c.ClientAuth = tls.RequireAnyClientCert
	}
	return c
}
