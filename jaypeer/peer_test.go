package jaypeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jaythread/jaywire"
)

const testTimeout = 5 * time.Second

// serve starts a server on loopback and returns its address.
func serve(t *testing.T, self string, config *tls.Config, handler Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(self, testTimeout, handler)
	go s.Serve(listener, config)
	t.Cleanup(s.Close)
	return listener.Addr().String()
}

func ackHeartbeat(request *jaywire.PeerRequest) *jaywire.PeerResponse {
	return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_HeartbeatAck{
		HeartbeatAck: &jaywire.HeartbeatAck{Offset: request.GetHeartbeat().GetOffset() + 1},
	}}
}

func heartbeat(offset uint64) *jaywire.PeerRequest {
	return &jaywire.PeerRequest{Body: &jaywire.PeerRequest_Heartbeat{Heartbeat: &jaywire.Heartbeat{Offset: offset}}}
}

func newClient(t *testing.T, config *tls.Config) *Client {
	c := NewClient("a", testTimeout, config)
	t.Cleanup(c.Close)
	return c
}

func TestAsk(t *testing.T) {
	t.Run("concurrent requests get their own responses", func(t *testing.T) {
		is := is.New(t)
		addr := serve(t, "b", nil, ackHeartbeat)
		c := newClient(t, nil)
		// If an idle stream is taken from the list without the lock, two
		// concurrent requests can take the same stream, and one receives the
		// response to the other.
		answers := make(chan bool, 50)
		for n := range uint64(50) {
			go func() {
				right := true
				for m := range uint64(40) {
					response, err := c.Ask("b", addr, heartbeat(100*n+m))
					right = right && err == nil && response.GetHeartbeatAck().GetOffset() == 100*n+m+1
				}
				answers <- right
			}()
		}
		for range 50 {
			is.True(<-answers)
		}
	})
	t.Run("closed port returns ErrGone", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is := is.New(t)
		is.NoErr(err)
		_ = listener.Close()
		_, err = newClient(t, nil).Ask("b", listener.Addr().String(), heartbeat(1))
		is.True(errors.Is(err, ErrGone))
	})
	t.Run("another incarnation at the address returns ErrGone", func(t *testing.T) {
		// An entry is replaced at the same address, and a peer sends it a
		// request that is meant for its predecessor. An address does not
		// identify an incarnation: the new one could grant a payment that its
		// predecessor knew to have run.
		is := is.New(t)
		asked := false
		addr := serve(t, "b2", nil, func(r *jaywire.PeerRequest) *jaywire.PeerResponse { asked = true; return ackHeartbeat(r) })
		_, err := newClient(t, nil).Ask("b1", addr, heartbeat(1))
		is.True(errors.Is(err, ErrGone))
		is.True(!asked)
	})
	t.Run("timeout returns ErrUnreachable", func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		defer close(release)
		addr := serve(t, "b", nil, func(r *jaywire.PeerRequest) *jaywire.PeerResponse { <-release; return ackHeartbeat(r) })
		c := NewClient("a", 20*time.Millisecond, nil)
		defer c.Close()
		_, err := c.Ask("b", addr, heartbeat(1))
		is.True(errors.Is(err, ErrUnreachable))
	})
	t.Run("closed session is replaced", func(t *testing.T) {
		is := is.New(t)
		addr := serve(t, "b", nil, ackHeartbeat)
		c := newClient(t, nil)
		_, err := c.Ask("b", addr, heartbeat(1))
		is.NoErr(err)
		for _, s := range c.sessions {
			is.NoErr(s.Close())
		}
		_, err = c.Ask("b", addr, heartbeat(1))
		is.NoErr(err)
	})
}

// newTLSConfig writes a new certificate authority and a certificate signed by it to files,
// and returns the TLS configuration that LoadTLSConfig reads from them.
func newTLSConfig(t *testing.T) *tls.Config {
	t.Helper()
	dir := t.TempDir()
	authorityKey, authority := certificate(t, nil, nil)
	key, cert := certificate(t, authority, authorityKey)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	config, err := LoadTLSConfig(write("cert", "CERTIFICATE", cert.Raw), write("key", "EC PRIVATE KEY", der), write("authority", "CERTIFICATE", authority.Raw))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func certificate(t *testing.T, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "jaythread"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return key, cert
}

func TestMutualTLS(t *testing.T) {
	ours, others := newTLSConfig(t), newTLSConfig(t)
	addr := serve(t, "b", ours, ackHeartbeat)
	t.Run("certificate of the same authority", func(t *testing.T) {
		_, err := newClient(t, ours).Ask("b", addr, heartbeat(1))
		is.New(t).NoErr(err)
	})
	t.Run("certificate of another authority", func(t *testing.T) {
		_, err := newClient(t, others).Ask("b", addr, heartbeat(1))
		is.New(t).True(err != nil)
	})
	t.Run("no certificate", func(t *testing.T) {
		c := NewClient("a", 200*time.Millisecond, nil)
		defer c.Close()
		_, err := c.Ask("b", addr, heartbeat(1))
		is.New(t).True(err != nil)
	})
	t.Run("missing files are an error", func(t *testing.T) {
		_, err := LoadTLSConfig("nowhere", "nowhere", "nowhere")
		is.New(t).True(err != nil)
	})
}

// FuzzPeerMessage searches for messages that make decoding or a handler panic.
func FuzzPeerMessage(f *testing.F) {
	text, err := proto.Marshal(heartbeat(7))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		request := &jaywire.PeerRequest{}
		if proto.Unmarshal(text, request) == nil {
			ackHeartbeat(request)
		}
		_ = proto.Unmarshal(text, &jaywire.PeerResponse{})
		_ = proto.Unmarshal(text, &jaywire.ClaimBatch{})
	})
}

// slowListener accepts connections that write a piece of pieceBytes in pieceTime.
type slowListener struct{ net.Listener }

const (
	pieceBytes = 16 << 10
	pieceTime  = 10 * time.Millisecond
)

// Accept returns the next connection.
func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

// Write writes with a pause after each piece.
func (c slowConn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		time.Sleep(pieceTime)
	}
	return written, err
}

// TestLargeResponseOverASlowLink guards against a response that never arrives since it takes longer
// over the link than the timeout, such as a record of the store that is read through a peer.
func TestLargeResponseOverASlowLink(t *testing.T) {
	is := is.New(t)
	const timeout = 300 * time.Millisecond
	value := make([]byte, 100*pieceBytes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer("b", timeout, func(*jaywire.PeerRequest) *jaywire.PeerResponse {
		result := &jaywire.StoreResult{Records: []*jaywire.StoreRecord{{Key: "config", Value: value}}}
		return &jaywire.PeerResponse{Body: &jaywire.PeerResponse_StoreResult{StoreResult: result}}
	})
	go server.Serve(slowListener{listener}, nil)
	t.Cleanup(server.Close)
	client := NewClient("a", timeout, nil)
	t.Cleanup(client.Close)
	began := time.Now()
	response, err := client.Ask("b", listener.Addr().String(), heartbeat(1))
	is.NoErr(err)
	is.Equal(len(response.GetStoreResult().GetRecords()[0].GetValue()), len(value))
	is.True(time.Since(began) > 2*timeout)
}

// TestServerClosedBeforeItServes guards against a stop during a start that leaves the server accepting
// connections for ever.
func TestServerClosedBeforeItServes(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	s := NewServer("b", testTimeout, ackHeartbeat)
	s.Close()
	ended := make(chan struct{})
	go func() {
		s.Serve(listener, nil)
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("Serve accepts connections after Close")
	}
}
