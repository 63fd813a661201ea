package standin

import "time"

// Config describes a simulated target.
type Config struct {
	Name       string
	DataCentre string
	Pool       string
	// Models lists the models of an engine; a target without models is a plain service.
	Models []string
	// Listen is IP:port; port 0 selects a free port.
	Listen string
	// AnnounceTo lists the HTTP addresses of entry hosts in the order in which they are
	// tried. Those of the target's own data centre should come first.
	AnnounceTo []string
	// Token is the bearer token for announcements.
	Token string
	// Slots is the number of requests that run concurrently; others are queued in
	// arrival order.
	Slots int
	// PrefillPerToken is the time for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// TokenInterval is the time between output tokens at zero load. It grows linearly
	// with the share of used slots and doubles when all are used, as in continuous
	// batching.
	TokenInterval time.Duration
	// CacheTokens is the capacity of the prefix cache; 0 disables the cache.
	CacheTokens int
	// ReportLag is the age of the load values in announcements.
	ReportLag time.Duration
	// Incarnation defaults to the start time.
	Incarnation uint64
	// CrashOn makes the target crash when a request body contains this text: it closes
	// all connections and restarts with a new incarnation. An empty text disables this.
	CrashOn string
	// RestartDelay is the time from a crash to the restart.
	RestartDelay time.Duration
	// ServiceTime is the processing time of a request to a plain service.
	ServiceTime time.Duration
}

func (c *Config) setDefaults() {
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.Slots == 0 {
		c.Slots = 8
	}
}
