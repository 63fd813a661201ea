package entry

import (
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"geraniumturn.example/geraniumturn/internal/refusal"
)

// discoveryTTL is how long callers may cache a discovery response.
const discoveryTTL = 5 * time.Second

// HostList is the response to GET /v1/hosts.
type HostList struct {
	// Hosts are ranked, best first.
	Hosts []HostEntry `json:"hosts"`
	TTLMS int64       `json:"ttl_ms"`
}

// Register adds the handlers for callers' requests, discovery, health checks and
// metrics.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/hosts", s.hosts)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.readiness)
	e.GET("/metrics", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Metrics.GetAll()) })
	e.RouteNotFound("/*", s.Serve)
}

// hosts serves the list of hosts for the caller. With a key, hosts outside the
// residency of its workspace are left out.
func (s *Server) hosts(c echo.Context) error {
	if s.Starting != nil && s.Starting() {
		e := refusal.New(refusal.Draining, refusal.NotRun, "this host is starting").WithHosts(s.hostAddresses(nil, ""))
		return c.JSON(e.Code.Status(), e.Body(""))
	}
	var residency []string
	home := ""
	if token := bearer(c.Request()); token != "" {
		key, err := s.Keys.Check(token)
		if err != nil {
			e := refusal.New(refusal.Unauthenticated, refusal.NotRun, "unknown or withdrawn key")
			return c.JSON(e.Code.Status(), e.Body(""))
		}
		if w := s.Fleet.View().Rules.Workspaces[key.Workspace]; w != nil {
			residency, home = w.Residency, w.Home
		}
	}
	return c.JSON(http.StatusOK, HostList{Hosts: s.Placement.HostsFor(residency, home), TTLMS: discoveryTTL.Milliseconds()})
}

func (s *Server) readiness(c echo.Context) error {
	if s.Draining() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if !s.Ready() {
		return c.String(http.StatusServiceUnavailable, "no rules in force yet\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// RequireToken returns middleware that refuses requests without the bearer token.
func RequireToken(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if subtle.ConstantTimeCompare([]byte(bearer(c.Request())), []byte(token)) != 1 {
				return echo.NewHTTPError(http.StatusUnauthorized, "wrong or missing bearer token")
			}
			return next(c)
		}
	}
}
