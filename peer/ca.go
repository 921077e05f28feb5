package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clockSkew is the largest clock difference between two VMs at which a new
	// certificate is valid at once on both: NotBefore is backdated by it.
	clockSkew = 5 * time.Minute
	// serialBits is the length of random certificate serial numbers in bits.
	serialBits = 120
)

// CA issues peer certificates.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA creates a CA with a new key and a self-signed certificate that is valid
// for the given time.
func NewCA(validity time.Duration) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "CA key")
	}
	template, err := newTemplate("mimosakeel peer CA", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "CA certificate")
	}
	return &CA{cert: cert, key: key}, nil
}

// ParseCA reads a CA from PEM blocks. The key must be an ECDSA key.
func ParseCA(certPEM, keyPEM []byte) (*CA, error) {
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, eris.Wrap(err, "CA")
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.New("CA key is not an ECDSA key")
	}
	return &CA{cert: pair.Leaf, key: key}, nil
}

// Issue creates a key and a certificate whose common name is the VM, and returns
// both as PEM blocks.
func (ca *CA) Issue(vm string, validity time.Duration) (certPEM, keyPEM []byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer key")
	}
	template, err := newTemplate(vm, validity)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{serverName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "peer certificate")
	}
	keyPEM, err = encodeKey(key)
	return encodeCert(der), keyPEM, err
}

// PEM returns the CA's certificate and key as PEM blocks.
func (ca *CA) PEM() (certPEM, keyPEM []byte, err error) {
	keyPEM, err = encodeKey(ca.key)
	return encodeCert(ca.cert.Raw), keyPEM, err
}

// Keys issues a certificate for a VM and returns it with the CA as Keys, for use
// in this process.
func (ca *CA) Keys(vm string, validity time.Duration) (*Keys, error) {
	certPEM, keyPEM, err := ca.Issue(vm, validity)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, eris.Wrap(err, "peer certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	return NewKeys(pair, pool), nil
}

func newTemplate(commonName string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

func encodeKey(key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}
