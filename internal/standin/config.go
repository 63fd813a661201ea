package standin

import "time"

// Config describes a simulated target.
type Config struct {
	Name       string
	DataCentre string
	Pool       string
	// Models makes it an engine; without models it is a plain service.
	Models []string
	// Listen is IP:port; port 0 takes a free one.
	Listen string
	// AnnounceTo are HTTP addresses of entry hosts, own data centre first.
	AnnounceTo []string
	// Token is the bearer token for announcements.
	Token string
	// Slots is how many requests run at once; more wait in arrival order.
	Slots int
	// PrefillPerToken is the time for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// TokenInterval is the time between output tokens of a lone request. With all
	// slots taken it is twice as long, as in continuous batching.
	TokenInterval time.Duration
	// CacheTokens is the room for cached prompt prefixes; 0 means no cache.
	CacheTokens int
	// ReportLag is the age of the load in announcements.
	ReportLag time.Duration
	// Incarnation defaults to the start time.
	Incarnation uint64
	// CrashOn makes the target cut all connections and come back with a new
	// incarnation when a request body contains the text. Empty never crashes.
	CrashOn string
	// RestartDelay is how long a crashed target stays away.
	RestartDelay time.Duration
	// ServiceTime is how long a plain service works on a request.
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
