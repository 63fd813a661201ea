package settings

import (
	"fmt"
	"net"
	"slices"
	"strconv"
)

// ConfigurationSource tells where the routing of a deployment comes from.
type ConfigurationSource string

const (
	// SourceRules is a rules file that operators apply; the default.
	SourceRules ConfigurationSource = "rules"
	// SourceDocument is one versioned document whose highest version wins.
	SourceDocument ConfigurationSource = "document"
)

// Deployment has what a host needs to know where the configuration is a document.
// Other hosts are learned from the seeds.
type Deployment struct {
	// Address is the IP number of this host.
	Address string `toml:"address"`
	// Bind is the IP number to listen on for other hosts, where it is not Address:
	// behind a proxy or an address translation.
	Bind string `toml:"bind"`
	// Ports are the first and last port for traffic between hosts, the same on all.
	Ports []int `toml:"ports"`
	// Seeds are up to three control addresses, IP:port.
	Seeds []string `toml:"seeds"`
	// Bootstrap is true only when the whole system starts for the first time.
	Bootstrap bool `toml:"found"`
	// Front serves callers and Ready tells whether the host is ready; on entry hosts.
	Front string `toml:"front"`
	Ready string `toml:"ready"`
	// Control serves operators and targets, Directory callers; on control hosts.
	Control   string `toml:"control"`
	Directory string `toml:"directory"`
	// MetricsPort serves counters and histograms as text; 0 for none.
	MetricsPort int `toml:"metrics_port"`
	// MemoryMB is the memory after which the process is ended; 0 for no limit.
	MemoryMB int `toml:"memory_mb"`
	// LostDisks is how many control hosts may lose their disks at once.
	LostDisks int `toml:"lost_disks"`
	// PrefillTokensPerMS is how many prompt tokens an engine reads in a millisecond.
	PrefillTokensPerMS float64 `toml:"read_speed"`
	// Regions has the region of each data centre.
	Regions map[string]string `toml:"regions"`
	Bounds  Bounds            `toml:"bounds"`
}

// Bounds are limits that bind the whole deployment.
type Bounds struct {
	// RevocationMS is the time after which a key that was taken away must not work.
	RevocationMS float64 `toml:"revocation_ms"`
	// ConfigurationMS is the time in which a change must be in force.
	ConfigurationMS float64 `toml:"configuration_ms"`
	// GraceS is the time between the signal to stop and the end of the process.
	GraceS float64 `toml:"grace_s"`
	// DirectoryTTLS is the longest time that callers keep a directory answer.
	DirectoryTTLS float64 `toml:"directory_ttl_s"`
	// RetryRatio, RetryWindowS and RetrySlack bound repeats: in a window, ratio x
	// requests + slack, per service over all hosts.
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

func (s *Settings) deploymentProblems(fail func(string, ...any)) {
	d := s.Deployment
	for key, value := range map[string]string{"name": s.Name, "data_centre": s.DataCentre, "region": s.Region} {
		if value == "" {
			fail("%s is missing", key)
		}
	}
	if len(s.Roles) != 1 || s.Roles[0] != RoleEntry && s.Roles[0] != RoleControl {
		fail("roles must be either entry or control where the configuration is a document")
	}
	if net.ParseIP(d.Address) == nil {
		fail("deployment.address = %q must be an IP number", d.Address)
	}
	if d.Bind != "" && net.ParseIP(d.Bind) == nil {
		fail("deployment.bind = %q must be an IP number", d.Bind)
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
		fail("security.private_network must be true: hosts that are learned have no certificates")
	}
	s.boundProblems(fail)
	if p := s.Policy.Target; p != "" && !slices.Contains(documentPolicies, p) {
		fail("policy.target = %q must be one of %v", p, documentPolicies)
	}
	if p := s.Policy.DataCentre; p != "" && p != "expected_time" && p != "always_local" {
		fail("policy.data_centre = %q must be expected_time or always_local", p)
	}
}

// documentPolicies are the ways of choosing targets in this wiring.
var documentPolicies = []string{"affinity", "least_in_flight", "two_choices", "random"}

func (s *Settings) boundProblems(fail func(string, ...any)) {
	b := s.Deployment.Bounds
	for key, value := range map[string]float64{"revocation_ms": b.RevocationMS, "configuration_ms": b.ConfigurationMS, "grace_s": b.GraceS,
		"directory_ttl_s": b.DirectoryTTLS, "retry_window_s": b.RetryWindowS} {
		if value <= 0 {
			fail("deployment.bounds.%s must be positive", key)
		}
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 || b.ColdOverrun < 0 || b.ColdSlack < 0 {
		fail("deployment.bounds must not be negative")
	}
}

// PeerListenAddress is where the process listens for calls of other hosts.
func (d Deployment) PeerListenAddress() string { return d.port(d.bind(), 0) }

// ForwardListenAddress is where forwarded requests arrive.
func (d Deployment) ForwardListenAddress() string { return d.port(d.bind(), 1) }

func (d Deployment) bind() string {
	if d.Bind != "" {
		return d.Bind
	}
	return d.Address
}

// PeerAddress is where other hosts reach this one by drpc.
func (d Deployment) PeerAddress() string { return d.port(d.Address, 0) }

// ForwardAddress is where other entry hosts send requests.
func (d Deployment) ForwardAddress() string { return d.port(d.Address, 1) }

// MetricsAddress is where metrics are served, or "".
func (d Deployment) MetricsAddress() string {
	if d.MetricsPort == 0 {
		return ""
	}
	return net.JoinHostPort(d.bind(), strconv.Itoa(d.MetricsPort))
}

func (d Deployment) port(ip string, n int) string {
	return net.JoinHostPort(ip, strconv.Itoa(d.Ports[0]+n))
}

// SeedPeerAddresses are the peer addresses of the seeds.
func (d Deployment) SeedPeerAddresses() []string {
	var out []string
	for _, seed := range d.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, d.port(ip, 0))
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
