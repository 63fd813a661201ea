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
	"geraniumturn.example/geraniumturn/internal/recovery"
	"geraniumturn.example/geraniumturn/internal/sockets"
)

// ErrUnreachable means that no connection to the host could be opened, so the RPC
// certainly did not reach it.
var ErrUnreachable = errors.New("peer: host is unreachable")

const (
	metadataHost  = "host"
	metadataStamp = "stamp"

	dialTimeout = 2 * time.Second
	// unacknowledgedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. Without it, an RPC to a lost peer would wait until
	// TCP gives up its retransmissions.
	unacknowledgedTimeout = 1500 * time.Millisecond
	poolExpiration        = 90 * time.Second
	poolKeyCapacity       = 256
	// MaxMessageBytes limits one message between hosts. The largest request body (8 MiB)
	// and its headers fit into it.
	MaxMessageBytes = 9 << 20
)

// Transport opens and accepts connections to other hosts.
type Transport struct {
	// OnPanic is called with the name of an RPC whose handler has panicked; nil if it is
	// not needed. Only that RPC fails. It must be set before Serve.
	OnPanic func(rpc string, err error)

	host   string
	hlc    *clock.HLC
	tls    *tls.Config
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	mux    *drpcmux.Mux
	server *drpcserver.Server

	sent, received, connections atomic.Int64
}

// Traffic has the traffic counters of a transport.
type Traffic struct {
	// BytesSent and BytesReceived count the TCP payload since the start of the transport,
	// TLS framing included.
	BytesSent, BytesReceived int64
	// Connections is the number of connections that are open now.
	Connections int64
}

// Traffic returns the traffic counters.
func (t *Transport) Traffic() Traffic {
	return Traffic{BytesSent: t.sent.Load(), BytesReceived: t.received.Load(), Connections: t.connections.Load()}
}

// New returns a transport for the host. A nil tlsConfig means TCP without TLS.
func New(host string, hlc *clock.HLC, tlsConfig *tls.Config) *Transport {
	t := &Transport{
		host: host, hlc: hlc, tls: tlsConfig,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: poolExpiration, KeyCapacity: poolKeyCapacity,
		}),
		mux: drpcmux.New(),
	}
	t.server = drpcserver.NewWithOptions(stampHandler{t}, drpcserver.Options{Manager: managerOptions()})
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
	return t.server.Serve(ctx, listener)
}

// Dial returns a connection handle for the address without connecting. Each RPC on the
// handle uses a pooled connection or opens one.
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
	raw, err := sockets.Dialer(unacknowledgedTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := t.countTraffic(raw)
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

// Sender returns the host name that the caller of the current RPC sent in the metadata.
func Sender(ctx context.Context) string {
	md, _ := drpcmetadata.Get(ctx)
	return md[metadataHost]
}

// stampConn adds the host name and the clock timestamp to the metadata of each RPC.
type stampConn struct {
	drpc.Conn
	t *Transport
}

func (c stampConn) withMetadata(ctx context.Context) context.Context {
	return drpcmetadata.AddPairs(ctx, map[string]string{
		metadataHost: c.t.host, metadataStamp: c.t.hlc.Now().String(),
	})
}

func (c stampConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(c.withMetadata(ctx), rpc, enc, in, out)
}

func (c stampConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	return c.Conn.NewStream(c.withMetadata(ctx), rpc, enc)
}

// stampHandler advances the local clock past the timestamp of each incoming RPC.
type stampHandler struct{ t *Transport }

func (h stampHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if md, ok := drpcmetadata.Get(stream.Context()); ok {
		if s, err := clock.ParseStamp(md[metadataStamp]); err == nil {
			h.t.hlc.Observe(s)
		}
	}
	err := recovery.Do(func() error { return h.t.mux.HandleRPC(stream, rpc) })
	if errors.Is(err, recovery.ErrPanic) && h.t.OnPanic != nil {
		h.t.OnPanic(rpc, err)
	}
	return err
}
