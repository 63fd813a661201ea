package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/sockets"
)

// ErrUnreachable means that no connection to the host could be opened, so the
// call certainly did not reach it.
var ErrUnreachable = errors.New("peer: host is unreachable")

const (
	metadataHost  = "host"
	metadataStamp = "stamp"

	dialTimeout = 2 * time.Second
	// silenceLimit ends a connection whose peer acknowledges nothing; a call on it
	// would otherwise wait for retransmissions.
	silenceLimit    = 1500 * time.Millisecond
	poolExpiration  = 90 * time.Second
	poolKeyCapacity = 256
	// MaxMessageBytes bounds one internal message. It leaves room for the
	// largest request body (8 MiB) and its headers.
	MaxMessageBytes = 9 << 20
)

// Transport opens and accepts connections between hosts.
type Transport struct {
	host  string
	hlc   *clock.HLC
	tls   *tls.Config
	pool  *drpcpool.Pool[string, drpcpool.Conn]
	mux   *drpcmux.Mux
	serve *drpcserver.Server

	sent, received, connections atomic.Int64
}

// Traffic is what a transport has carried since its start.
type Traffic struct {
	// BytesSent and BytesReceived count the payload of TCP, with TLS framing.
	BytesSent, BytesReceived int64
	// Connections is the number of open ones.
	Connections int64
}

// Traffic returns the counters.
func (t *Transport) Traffic() Traffic {
	return Traffic{BytesSent: t.sent.Load(), BytesReceived: t.received.Load(), Connections: t.connections.Load()}
}

// New returns a transport for the named host. A nil tlsConfig means plain TCP.
func New(host string, hlc *clock.HLC, tlsConfig *tls.Config) *Transport {
	t := &Transport{
		host: host, hlc: hlc, tls: tlsConfig,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: poolExpiration, KeyCapacity: poolKeyCapacity,
		}),
		mux: drpcmux.New(),
	}
	t.serve = drpcserver.NewWithOptions(stampHandler{t}, drpcserver.Options{Manager: managerOptions()})
	return t
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// Register adds a drpc service. Call it before Serve.
func (t *Transport) Register(impl any, desc drpc.Description) error {
	if err := t.mux.Register(impl, desc); err != nil {
		return fmt.Errorf("peer: register service: %w", err)
	}
	return nil
}

// Serve accepts connections until ctx ends.
func (t *Transport) Serve(ctx context.Context, listener net.Listener) error {
	listener = countingListener{listener, t}
	if t.tls != nil {
		listener = tls.NewListener(listener, t.tls)
	}
	return t.serve.Serve(ctx, listener)
}

// Dial returns a connection handle for the address. Each call on the handle
// takes a pooled connection or opens one.
func (t *Transport) Dial(address string) drpc.Conn {
	return stampConn{Conn: t.pool.Get(context.Background(), address, t.open), t: t}
}

// Close closes the pooled connections.
func (t *Transport) Close() error { return t.pool.Close() }

func (t *Transport) open(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.dialSocket(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrUnreachable, address, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func (t *Transport) dialSocket(ctx context.Context, address string) (net.Conn, error) {
	raw, err := sockets.Dialer(silenceLimit).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := t.counted(raw)
	if t.tls == nil {
		return conn, nil
	}
	return t.handshake(ctx, conn, address)
}

func (t *Transport) handshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	config := t.tls.Clone()
	config.ServerName = ip
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secure, nil
}

// Sender returns the host name that the caller of the current RPC gave.
func Sender(ctx context.Context) string {
	md, _ := drpcmetadata.Get(ctx)
	return md[metadataHost]
}

// stampConn adds the host name and the clock stamp to each call.
type stampConn struct {
	drpc.Conn
	t *Transport
}

func (c stampConn) outgoing(ctx context.Context) context.Context {
	return drpcmetadata.AddPairs(ctx, map[string]string{
		metadataHost: c.t.host, metadataStamp: c.t.hlc.Now().String(),
	})
}

func (c stampConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(c.outgoing(ctx), rpc, enc, in, out)
}

func (c stampConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	return c.Conn.NewStream(c.outgoing(ctx), rpc, enc)
}

// stampHandler advances the local clock past the stamp of each incoming call.
type stampHandler struct{ t *Transport }

func (h stampHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if md, ok := drpcmetadata.Get(stream.Context()); ok {
		if s, err := clock.ParseStamp(md[metadataStamp]); err == nil {
			h.t.hlc.Observe(s)
		}
	}
	return h.t.mux.HandleRPC(stream, rpc)
}
