package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrBadCertificate means that a certificate file cannot be used.
var ErrBadCertificate = errors.New("peer: unusable certificate")

// LoadTLS returns a mutual TLS configuration from PEM files. Both sides must present a
// certificate that is signed by the certificate authority in caFile. Hosts connect to IP
// addresses, so the certificate must list those of its host.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBadCertificate, err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrBadCertificate, err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s contains no PEM certificate", ErrBadCertificate, caFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
