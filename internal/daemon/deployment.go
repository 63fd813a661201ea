package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	ossignal "os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/eventlog"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/processors"
	"geraniumturn.example/geraniumturn/internal/registry"
	"geraniumturn.example/geraniumturn/internal/settings"
	"geraniumturn.example/geraniumturn/internal/sockets"
)

const (
	// reloadInterval is the time between checks whether the settings file has changed
	// without a signal.
	reloadInterval = 2 * time.Second
	// acceptUserTimeout is the time after which an accepted connection is closed if its
	// peer acknowledges no data.
	acceptUserTimeout = 5 * time.Second
	// serverIdleTimeout is longer than every idle timeout that callers rely on.
	serverIdleTimeout = 90 * time.Second
	// serverHeaderTimeout bounds the time in which a caller sends the headers of a request.
	serverHeaderTimeout = 10 * time.Second
	// exitReserve is the part of the grace time that is kept for the exit of the
	// process after its graceful stop.
	exitReserve = 600 * time.Millisecond
)

// deploymentDaemon is the process of one host when the configuration is a document.
type deploymentDaemon struct {
	path      string
	settings  *settings.Settings
	seeds     atomic.Pointer[[]string]
	log       *logrus.Logger
	metrics   metrics.Registry
	transport *peer.Transport
	gate      *intake.Gate
	group     run.Group
}

// RunDeployment runs an entry or a control host until a signal arrives or a component
// fails. path is the settings file, which is read again when it changes. Log lines
// are written to out.
func RunDeployment(path string, s *settings.Settings, out io.Writer) error {
	writer := eventlog.NewWriter(out)
	defer writer.Close()
	d := &deploymentDaemon{path: path, settings: s, log: eventlog.NewLogger(writer), metrics: metrics.NewRegistry(),
		transport: peer.New(s.Name, &clock.HLC{}, nil)}
	gate, err := newGate(s, d.log, d.metrics)
	if err != nil {
		return err
	}
	d.gate = gate
	d.transport.OnPanic = func(rpc string, err error) { d.logPanic(rpc)(err) }
	seeds := s.Deployment.SeedPeerAddresses()
	d.seeds.Store(&seeds)
	metrics.NewRegisteredFunctionalGauge("log.dropped", d.metrics, writer.Dropped)
	role := string(s.Roles[0])
	d.log.WithFields(logrus.Fields{"host": s.Name, "role": role, "seeds": seeds, "found": s.Deployment.Bootstrap}).Info("start")
	err = d.run()
	d.log.WithFields(logrus.Fields{"host": s.Name, "error": fmt.Sprint(err)}).Info("stop")
	return err
}

func (d *deploymentDaemon) run() error {
	defer func() { _ = d.transport.Close() }()
	build := d.buildEntry
	if d.settings.HasRole(settings.RoleControl) {
		build = d.buildControl
	}
	stop, err := build()
	if err != nil {
		return err
	}
	d.addSignals(stop)
	addLoop(&d.group, d.watchSettings)
	addLoop(&d.group, processors.Run)
	if address := d.settings.Deployment.MetricsAddress(); address != "" {
		if _, err := d.addServer(address, intake.Operators, intake.Handler(metricsHandler(d.metrics))); err != nil {
			return err
		}
	}
	err = d.group.Run()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the group after a graceful stop.
var errStopped = errors.New("stopped by a signal")

// addSignals calls stop at the first SIGTERM or SIGINT and then ends the group. The
// context of stop ends exitReserve before the end of the grace time.
func (d *deploymentDaemon) addSignals(stop func(ctx context.Context)) {
	done := make(chan struct{})
	signals := make(chan os.Signal, 2)
	ossignal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	d.group.Add(func() error {
		select {
		case <-done:
			return nil
		case s := <-signals:
			d.log.WithField("signal", s.String()).Info("stopping")
		}
		limit := clock.Seconds(d.settings.Deployment.Bounds.GraceS) - exitReserve
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		stop(ctx)
		return errStopped
	}, func(error) {
		ossignal.Stop(signals)
		close(done)
	})
}

// server is an HTTP server that stops in two steps: first it accepts no new
// connections, then it closes the open ones. http.Server.Shutdown is not used because
// it would drop a request that arrives on an open idle connection.
type server struct {
	*http.Server
	listener     net.Listener
	groupStopped chan struct{}
	// busy is the number of connections on which a request has begun to arrive and is not
	// answered yet. http.StateActive begins only when the whole head has arrived.
	busy atomic.Int64
}

// busyListener accepts connections that count in server.busy.
type busyListener struct {
	net.Listener
	busy *atomic.Int64
}

func (l busyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &busyConn{Conn: c, busy: l.busy}, nil
}

// The states of a busyConn.
const (
	connIdle int32 = iota
	connBusy
	connClosed
)

type busyConn struct {
	net.Conn
	busy  *atomic.Int64
	state atomic.Int32
}

func (c *busyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.state.CompareAndSwap(connIdle, connBusy) {
		c.busy.Add(1)
	}
	return n, err
}

// connState counts a connection as not busy when it waits for the next request or ends.
func connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*busyConn)
	if !ok {
		return
	}
	intake.SetState(c.Conn, state)
	next := connIdle
	switch state {
	case http.StateClosed, http.StateHijacked:
		next = connClosed
	case http.StateIdle:
	default:
		return
	}
	if c.state.Swap(next) == connBusy {
		c.busy.Add(-1)
	}
}

// refuseConnections closes the listener. Open connections continue to be served.
func (s *server) refuseConnections() { _ = s.listener.Close() }

// addServer serves a handler on an address until the group ends. class tells who connects.
func (d *deploymentDaemon) addServer(address string, class intake.Class, handler http.Handler) (*server, error) {
	listener, err := d.listen(address)
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, groupStopped: make(chan struct{}),
		Server: &http.Server{Handler: sockets.ResetUnfinished(intake.DiscardBodies(handler)), ReadHeaderTimeout: serverHeaderTimeout, IdleTimeout: serverIdleTimeout}}
	s.ConnState = connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		counted := c.(*busyConn).Conn.(*intake.Conn)
		return intake.WithConn(sockets.WithConn(ctx, counted.Conn), counted)
	}
	d.group.Add(func() error {
		if err := s.Serve(busyListener{d.gate.Listen(listener, class), &s.busy}); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("daemon: serve %s: %w", address, err)
		}
		<-s.groupStopped
		return nil
	}, func(error) {
		close(s.groupStopped)
		_ = s.Close()
	})
	return s, nil
}

// servePeers registers an RPC service and serves other hosts until the group ends.
func (d *deploymentDaemon) servePeers(service any, description drpc.Description) error {
	if err := d.transport.Register(service, description); err != nil {
		return err
	}
	listener, err := d.listen(d.settings.Deployment.PeerListenAddress())
	if err != nil {
		return err
	}
	addLoop(&d.group, func(ctx context.Context) error {
		return d.transport.Serve(ctx, d.gate.ListenRaw(listener, intake.Hosts))
	})
	return nil
}

func (d *deploymentDaemon) listen(address string) (net.Listener, error) {
	listener, err := sockets.ListenConfig(acceptUserTimeout).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("daemon: listen on %s: %w", address, err)
	}
	return listener, nil
}

// watchSettings reloads the settings file on SIGHUP and when its content has changed.
// Only changes of the seeds take effect in a running process.
func (d *deploymentDaemon) watchSettings(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	ossignal.Notify(hangups, syscall.SIGHUP)
	defer ossignal.Stop(hangups)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(d.path) // a file that cannot be read is reported below
	for {
		cause := "changed file"
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
			cause = "signal"
		case <-ticker.C:
		}
		content, err := os.ReadFile(d.path)
		if err != nil {
			d.log.WithError(err).Warn("settings not read")
			continue
		}
		if cause != "signal" && slices.Equal(content, last) {
			continue
		}
		last = content
		s, err := settings.Parse(content)
		if err != nil {
			d.log.WithError(err).Error("settings refused; the old ones stay in force")
			continue
		}
		seeds := s.Deployment.SeedPeerAddresses()
		d.seeds.Store(&seeds)
		d.log.WithFields(logrus.Fields{"cause": cause, "seeds": seeds}).Info("settings read")
	}
}

// logInvalidRecords logs target records of another control host that were skipped.
func (d *deploymentDaemon) logInvalidRecords(control string, err error) {
	d.log.WithError(err).WithField("control", control).Warn("invalid target records")
}

// newTargetTable returns an empty table of targets that logs conflicts.
func (d *deploymentDaemon) newTargetTable() *registry.Table {
	t := registry.NewTable()
	t.OnConflict = func(c registry.Conflict) {
		d.log.WithFields(logrus.Fields{"target": c.Displaced.ID, "service": c.Displaced.Service, "address": c.Displaced.Address, "born": c.Displaced.StartMillis,
			"sequence": c.Displaced.Sequence, "cause": string(c.Cause), "by": c.Record.ID, "by_service": c.Record.Service, "by_address": c.Record.Address,
			"by_born": c.Record.StartMillis, "by_sequence": c.Record.Sequence, "by_state": c.Record.State.String()}).Info("target conflict")
	}
	return t
}

// logPanic returns a function that logs and counts an unexpected error, which ended only
// what is named.
func (d *deploymentDaemon) logPanic(what string) func(error) {
	return func(err error) {
		metrics.GetOrRegisterCounter("panics", d.metrics).Inc(1)
		d.log.WithError(err).WithField("in", what).Error("unexpected error")
	}
}

func (d *deploymentDaemon) seedPeers() []string { return *d.seeds.Load() }

// metricsHandler writes counters, gauges and timers as text, one value per line. The
// percentiles of timers are in milliseconds.
func metricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		r.Each(func(name string, value any) {
			switch m := value.(type) {
			case metrics.Counter:
				fmt.Fprintf(w, "%s %d\n", name, m.Count())
			case metrics.Gauge:
				fmt.Fprintf(w, "%s %d\n", name, m.Value())
			case metrics.Timer:
				s := m.Snapshot()
				p := s.Percentiles([]float64{0.5, 0.9, 0.99})
				fmt.Fprintf(w, "%s.count %d\n%s.p50_ms %.3f\n%s.p90_ms %.3f\n%s.p99_ms %.3f\n", name, s.Count(),
					name, p[0]/1e6, name, p[1]/1e6, name, p[2]/1e6)
			}
		})
	})
}
