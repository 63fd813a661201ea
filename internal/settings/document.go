package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
)

// ConfigurationSource selects where the routing configuration of a deployment comes
// from.
type ConfigurationSource string

const (
	// SourceRules is a rules file that operators apply. It is the default.
	SourceRules ConfigurationSource = "rules"
	// SourceDocument is one versioned document; the highest version is in force.
	SourceDocument ConfigurationSource = "document"
)

// Deployment has the settings that a host needs when the configuration is a document.
// The other hosts are discovered through the seeds.
type Deployment struct {
	// Address is the IP address of this host.
	Address string `toml:"address"`
	// Bind is the IP address to listen on for other hosts if it differs from Address,
	// as behind a proxy or network address translation.
	Bind string `toml:"bind"`
	// Ports are the first and last port for traffic between hosts, the same on all hosts.
	Ports []int `toml:"ports"`
	// Seeds are up to three control addresses, IP:port.
	Seeds []string `toml:"seeds"`
	// Bootstrap lets the control hosts among the seeds create a new control log. It is
	// true only at the first start of the whole system.
	Bootstrap bool `toml:"found"`
	// Front is the address for callers and Ready the one of the readiness check. Both
	// are required on entry hosts.
	Front string `toml:"front"`
	Ready string `toml:"ready"`
	// Control is the address for operators and targets and Directory the one where
	// callers discover entry hosts. Both are required on control hosts.
	Control   string `toml:"control"`
	Directory string `toml:"directory"`
	// MetricsPort is the port that serves counters, gauges and timers as text; 0 disables
	// it.
	MetricsPort int `toml:"metrics_port"`
	// MemoryMB is the memory limit above which the process is killed, in MiB; 0 means that
	// Limits.MemoryMB has it.
	MemoryMB int `toml:"memory_mb"`
	// LostDisks is the number of control hosts that may lose their disks at the same time.
	LostDisks int `toml:"lost_disks"`
	// PrefillTokensPerMS is the number of prompt tokens that an engine prefills in a
	// millisecond.
	PrefillTokensPerMS float64 `toml:"read_speed"`
	// Regions maps each data centre to its region.
	Regions map[string]string `toml:"regions"`
	Bounds  Bounds            `toml:"bounds"`
}

// Bounds are limits for the whole deployment, over all of its hosts.
type Bounds struct {
	// RevocationMS is the time after which a withdrawn key must not be accepted.
	RevocationMS float64 `toml:"revocation_ms"`
	// ConfigurationMS is the time within which a change must be in force.
	ConfigurationMS float64 `toml:"configuration_ms"`
	// GraceS is the time between the termination signal and the end of the process.
	GraceS float64 `toml:"grace_s"`
	// DirectoryTTLS is the longest time for which callers cache a directory response.
	DirectoryTTLS float64 `toml:"directory_ttl_s"`
	// RetryRatio, RetryWindowS and RetrySlack are the retry budget of a service over
	// all hosts: at most ratio x requests + slack retries in a window.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetryWindowS float64 `toml:"retry_window_s"`
	RetrySlack   float64 `toml:"retry_slack"`
	// RateSlack is the number of tokens by which a workspace may exceed its rate
	// and burst in a window.
	RateSlack float64 `toml:"rate_slack"`
	// ColdOverrun and ColdSlack bound the requests to a cold target in a second:
	// its rate x overrun + slack.
	ColdOverrun float64 `toml:"cold_overrun"`
	ColdSlack   float64 `toml:"cold_slack"`
}

// CountRegions returns the number of regions.
func (d Deployment) CountRegions() int {
	regions := map[string]bool{}
	for _, r := range d.Regions {
		regions[r] = true
	}
	return len(regions)
}

func (s *Settings) checkDeployment(fail func(string, ...any)) {
	d := s.Deployment
	for key, value := range map[string]string{"name": s.Name, "data_centre": s.DataCentre, "region": s.Region} {
		if value == "" {
			fail("%s is missing", key)
		}
	}
	if len(s.Roles) != 1 || s.Roles[0] != RoleEntry && s.Roles[0] != RoleControl {
		fail("roles must hold exactly one role, entry or control, when configuration is document")
	}
	if net.ParseIP(d.Address) == nil {
		fail("deployment.address = %q must be an IP address", d.Address)
	}
	if d.Bind != "" && net.ParseIP(d.Bind) == nil {
		fail("deployment.bind = %q must be an IP address", d.Bind)
	}
	if len(d.Ports) != 2 || d.Ports[0] <= 0 || d.Ports[1] <= d.Ports[0] || d.Ports[1] > 65535 {
		fail("deployment.ports must be the first and the last port, not %v", d.Ports)
	}
	for i, seed := range d.Seeds {
		checkAddress(fail, fmt.Sprintf("deployment.seeds[%d]", i), seed)
	}
	if len(d.Seeds) == 0 {
		fail("deployment.seeds is empty")
	}
	if s.HasRole(RoleControl) {
		checkAddress(fail, "deployment.control", d.Control)
		checkAddress(fail, "deployment.directory", d.Directory)
		if s.DataDir == "" {
			fail("role control needs data_dir, because its state must be durable")
		}
	} else {
		checkAddress(fail, "deployment.front", d.Front)
		checkAddress(fail, "deployment.ready", d.Ready)
	}
	if !s.Security.PrivateNetwork {
		fail("security.private_network must be true when configuration is document: discovered hosts have no certificates")
	}
	s.checkBounds(fail)
	if p := s.Policy.Target; p != "" && !slices.Contains(documentPolicies, p) {
		fail("policy.target = %q must be one of %v", p, documentPolicies)
	}
	if p := s.Policy.Room; p != "" && p != "by_urgency" && p != "equal" {
		fail("policy.room = %q must be by_urgency or equal", p)
	}
	if p := s.Policy.DataCentre; p != "" && p != "expected_time" && p != "always_local" {
		fail("policy.data_centre = %q must be expected_time or always_local", p)
	}
}

// documentPolicies are the policies for choosing a target that are available when the
// configuration is a document.
var documentPolicies = []string{"affinity", "least_in_flight", "two_choices", "random"}

func (s *Settings) checkBounds(fail func(string, ...any)) {
	b := s.Deployment.Bounds
	for key, value := range map[string]float64{"revocation_ms": b.RevocationMS, "configuration_ms": b.ConfigurationMS, "grace_s": b.GraceS,
		"directory_ttl_s": b.DirectoryTTLS, "retry_window_s": b.RetryWindowS} {
		if value <= 0 {
			fail("deployment.bounds.%s must be positive", key)
		}
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 || b.ColdOverrun < 0 || b.ColdSlack < 0 {
		fail("deployment.bounds: retry_ratio, retry_slack, cold_overrun and cold_slack must not be negative")
	}
}

// PeerListenAddress returns the address to listen on for RPCs of other hosts.
func (d Deployment) PeerListenAddress() string { return d.address(d.bind(), 0) }

// ForwardListenAddress returns the address to listen on for requests that other entry
// hosts forward.
func (d Deployment) ForwardListenAddress() string { return d.address(d.bind(), 1) }

func (d Deployment) bind() string {
	if d.Bind != "" {
		return d.Bind
	}
	return d.Address
}

// PeerAddress returns the address to which other hosts send RPCs.
func (d Deployment) PeerAddress() string { return d.address(d.Address, 0) }

// ForwardAddress returns the address to which other entry hosts forward requests.
func (d Deployment) ForwardAddress() string { return d.address(d.Address, 1) }

// MetricsAddress returns the address that serves metrics, or "" for none.
func (d Deployment) MetricsAddress() string {
	if d.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(d.bind(), strconv.Itoa(d.MetricsPort))
}

func (d Deployment) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(d.Ports[0]+offset))
}

// SeedPeerAddresses returns the peer addresses of the seeds, sorted and without
// duplicates.
func (d Deployment) SeedPeerAddresses() []string {
	var out []string
	for _, seed := range d.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, d.address(ip, 0))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
