package jaypeer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"github.com/samber/oops"
)

// ErrNoCACertificate is returned for a certificate authority file without certificates.
var ErrNoCACertificate = errors.New("no certificate in the authority file")

// LoadTLSConfig returns the mutual TLS configuration of an entry: its own certificate and
// key, and the certificate authority that signs the certificates of its peers. If
// certFile is empty it returns nil, for connections without encryption.
func LoadTLSConfig(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, oops.In("peer keys").Wrapf(err, "read %s and %s", certFile, keyFile)
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, oops.In("peer keys").Wrapf(err, "read %s", authorityFile)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, oops.In("peer keys").Wrapf(ErrNoCACertificate, "read %s", authorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
