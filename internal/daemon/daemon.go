package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/admission"
	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/entry"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/keys"
	"geraniumturn.example/geraniumturn/internal/membership"
	"geraniumturn.example/geraniumturn/internal/operations"
	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/processors"
	"geraniumturn.example/geraniumturn/internal/quota"
	"geraniumturn.example/geraniumturn/internal/routing"
	"geraniumturn.example/geraniumturn/internal/settings"
	"geraniumturn.example/geraniumturn/internal/sockets"
	"geraniumturn.example/geraniumturn/internal/suspects"
	"geraniumturn.example/geraniumturn/internal/targets"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

const (
	timelineCapacity = 65_536
	// shutdownTimeout bounds a graceful shutdown. Requests that are still in progress
	// after it are aborted.
	shutdownTimeout      = 60 * time.Second
	forwardsPollInterval = 50 * time.Millisecond
	minTokenBytes        = 16
	headerTimeout        = 10 * time.Second
	maxHeaderBytes       = 64 << 10
)

// Daemon is the process of one host when the configuration is a rules file.
type Daemon struct {
	settings  *settings.Settings
	log       *logrus.Logger
	metrics   metrics.Registry
	hlc       *clock.HLC
	events    *timeline.Log
	transport *peer.Transport

	controlLog control.Log
	// controlNode, fleetMachine and quotaMachine are nil on a host that is not a voter.
	controlNode *control.Node

	fleetMachine *fleet.Machine
	replica      *fleet.Replica
	keys         *keys.Table
	members      *membership.Members
	fleet        *fleetDriver
	targets      *targets.Table
	relay        *targets.Relay
	relayWake    chan struct{}
	router       *routing.Router
	dispatcher   *dispatch.Dispatcher
	forwards     *dispatch.Service
	operations   *operations.Service
	entry        *entry.Server

	quotaMachine *quota.Machine
	quota        *quota.Runtime
	suspects     *suspects.Table
	admission    *admission.Admission
	echo         *echo.Echo
	gate         *intake.Gate
}

// New builds the process from its settings. Nothing runs before Run is called.
func New(s *settings.Settings, log *logrus.Logger) (*Daemon, error) {
	tlsConfig, err := peerTLS(s, log)
	if err != nil {
		return nil, err
	}
	hlc := &clock.HLC{}
	d := &Daemon{
		settings: s, log: log, metrics: metrics.NewRegistry(), hlc: hlc,
		events:    timeline.New(s.Name, hlc, timelineCapacity),
		transport: peer.New(s.Name, hlc, tlsConfig),
		replica:   fleet.NewReplica(),
		keys:      keys.NewTable(),
		targets:   targets.NewTable(s.Name, s.DataCentre),
	}
	if d.gate, err = newGate(s, log, d.metrics); err != nil {
		return nil, err
	}
	builders := []func() error{
		d.buildControl,
		d.buildMembership,
		d.buildFleet,
		d.buildTargets,
		d.buildDispatch,
		d.buildQuota,
		d.buildOperations,
		d.buildHTTP,
	}
	for _, build := range builders {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func peerTLS(s *settings.Settings, log *logrus.Logger) (*tls.Config, error) {
	if s.Security.AllowPlaintextPeers {
		log.Warn("connections between hosts are not encrypted (allow_plaintext_peers)")
		return nil, nil
	}
	return peer.LoadTLS(s.Security.PeerCert, s.Security.PeerKey, s.Security.PeerCA)
}

// Run serves until a signal arrives or a component fails. SIGINT and SIGTERM shut
// the process down gracefully, and Run then returns nil.
func (d *Daemon) Run() error {
	httpListener, err := net.Listen("tcp", d.settings.Listen.HTTP)
	if err != nil {
		return fmt.Errorf("daemon: listen.http: %w", err)
	}
	peerListener, err := net.Listen("tcp", d.settings.Listen.Peer)
	if err != nil {
		return fmt.Errorf("daemon: listen.peer: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	d.addHTTP(&g, httpListener)
	addLoop(&g, func(ctx context.Context) error {
		return d.transport.Serve(ctx, d.gate.ListenRaw(peerListener, intake.Hosts))
	})
	for _, loop := range d.loops() {
		addLoop(&g, loop)
	}
	d.log.WithFields(logrus.Fields{"http": d.settings.Listen.HTTP, "peer": d.settings.Listen.Peer}).Info("serving")
	err = g.Run()
	_ = d.transport.Close()
	if errors.Is(err, run.ErrSignal) {
		d.log.Info("stopped")
		return nil
	}
	return err
}

// loops returns the background tasks; each runs until its context ends.
func (d *Daemon) loops() []func(context.Context) error {
	return []func(context.Context) error{
		d.controlLoop,
		d.membershipLoop,
		d.fleet.startLoop,
		d.fleet.commitLoop,
		d.fleet.pullLoop,
		d.fleet.proposeLoop,
		d.fleet.registerLoop,
		d.relayLoop,
		d.exchangeLoop,
		d.quota.Tick,
		d.quota.Sync,
		d.admission.Sweep,
		d.operations.Run,
		d.suspectsLoop,
		processors.Run,
	}
}

// addLoop runs a background task until the group ends.
func addLoop(g *run.Group, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		err := loop(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return err
	}, func(error) { cancel() })
}

// addHTTP adds the HTTP server to the group. It must be added before the loops: the
// group interrupts its members in order, so the server finishes its graceful shutdown
// while the loops still run.
func (d *Daemon) addHTTP(g *run.Group, listener net.Listener) {
	server := &http.Server{Handler: sockets.ResetUnfinished(intake.DiscardBodies(d.echo)), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return d.keys.ConnContext(intake.WithConn(sockets.WithConn(ctx, c.(*intake.Conn).Conn), c), c)
		}, ConnState: func(c net.Conn, state http.ConnState) {
			intake.SetState(c, state)
			d.keys.ConnState(c, state)
		}}
	g.Add(func() error { return server.Serve(d.gate.Listen(listener, intake.Callers)) }, func(error) {
		d.drain()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			d.log.WithError(err).Warn("graceful shutdown incomplete: aborted requests in progress")
			_ = server.Close()
		}
		if open := d.awaitForwards(ctx); open > 0 {
			d.log.WithField("open", open).Warn("graceful shutdown incomplete: aborted forwarded requests")
		}
	})
}

// awaitForwards waits until the requests that other hosts forwarded to this one have
// ended, and returns the number still in progress when ctx ends.
func (d *Daemon) awaitForwards(ctx context.Context) int64 {
	for d.forwards.InFlight() > 0 && clock.Sleep(ctx, forwardsPollInterval) {
	}
	return d.forwards.InFlight()
}
