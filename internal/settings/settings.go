package settings

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ErrInvalid is wrapped by every error about the content of a settings or credential
// file.
var ErrInvalid = errors.New("settings: invalid")

// Role is a function that a process performs.
type Role string

const (
	// RoleEntry serves callers, targets and operators.
	RoleEntry Role = "entry"
	// RoleControl is a voter of the replicated log. It requires a data folder.
	RoleControl Role = "control"
)

// Settings is the content of a settings file.
type Settings struct {
	// Name is the host's unique name.
	Name string `toml:"name"`
	// DataCentre is the data centre of the host.
	DataCentre string `toml:"data_centre"`
	// Region groups data centres that are near each other.
	Region string `toml:"region"`
	// Roles are the roles of this process; the default is ["entry"].
	Roles []Role `toml:"roles"`
	// DataDir is the folder for durable state. Empty means that the host stores nothing
	// on disk.
	DataDir string `toml:"data_dir"`

	// Configuration is rules (default) or document.
	Configuration ConfigurationSource `toml:"configuration"`
	// Deployment is used only when Configuration is document.
	Deployment Deployment `toml:"deployment"`

	Listen   Listen   `toml:"listen"`
	Control  Control  `toml:"control"`
	Security Security `toml:"security"`
	Policy   Policy   `toml:"policy"`
	Limits   Limits   `toml:"limits"`
	// Hosts lists the hosts of the fleet that are known at the start of this one; it
	// need not list all. The voters must be among them.
	Hosts []Host `toml:"hosts"`
}

// Listen has the listen addresses of this process, as IP:port.
type Listen struct {
	// HTTP serves callers, targets and operators.
	HTTP string `toml:"http"`
	// Peer serves other hosts over drpc.
	Peer string `toml:"peer"`
}

// Control configures the replicated log.
type Control struct {
	// Voters names the hosts that store the log and vote: 1, 3, 5 or 7 of them.
	Voters []string `toml:"voters"`
}

// Limits bound what others make the process hold.
type Limits struct {
	// MemoryMB is the memory that the process may use, in MiB; 0 means what the machine, its
	// control group and the limit of the process's data allow. Deployment.MemoryMB, if set,
	// goes before it.
	MemoryMB int `toml:"memory_mb"`
	// Connections is the number of connections of callers; 0 means what memory and
	// descriptors allow.
	Connections int `toml:"connections"`
}

// Policy selects the routing policies. The defaults are for production; the others
// are baselines for measurements.
type Policy struct {
	// Target is affinity (default), random, round_robin, least_in_flight,
	// least_reported or two_choices.
	Target string `toml:"target"`
	// DataCentre is expected_time (default), always_local or least_loaded.
	DataCentre string `toml:"data_centre"`
	// Room is by_urgency (default) or equal: whether less urgent requests give way to more
	// urgent ones. It has an effect in deployments with a configuration document.
	Room string `toml:"room"`
}

// Security names files with credentials.
type Security struct {
	// OperatorTokenFile holds the bearer token for /admin/.
	OperatorTokenFile string `toml:"operator_token_file"`
	// AnnounceTokenFile holds the bearer token of targets that announce themselves.
	AnnounceTokenFile string `toml:"announce_token_file"`
	// DigestKeyFile holds the key for digests of request bodies: at least 16
	// bytes, the same on all hosts.
	DigestKeyFile string `toml:"digest_key_file"`
	// PeerCert, PeerKey and PeerCA are PEM files for mutual TLS between hosts.
	PeerCert string `toml:"peer_cert"`
	PeerKey  string `toml:"peer_key"`
	PeerCA   string `toml:"peer_ca"`
	// AllowPlaintextPeers permits peer connections without TLS. It is valid only
	// when all peer addresses are loopback addresses.
	AllowPlaintextPeers bool `toml:"allow_plaintext_peers"`
	// PrivateNetwork asserts that only hosts of the system can reach the peer
	// addresses. It must be set when the configuration is a document, because
	// discovered hosts have no certificates.
	PrivateNetwork bool `toml:"private_network"`
}

// Host is a host of the fleet that the settings list.
type Host struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// HTTP is the address for callers, IP:port.
	HTTP string `toml:"http"`
	// Peer is the address for other hosts, IP:port.
	Peer string `toml:"peer"`
}

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// Self returns the entry of this host.
func (s *Settings) Self() Host {
	return Host{Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, HTTP: s.Listen.HTTP, Peer: s.Listen.Peer}
}

// AllHosts returns this host, followed by the other listed hosts.
func (s *Settings) AllHosts() []Host {
	out := []Host{s.Self()}
	for _, h := range s.Hosts {
		if h.Name != s.Name {
			out = append(out, h)
		}
	}
	return out
}

// Host returns the host with the name, which may be this one.
func (s *Settings) Host(name string) (Host, bool) {
	for _, h := range s.AllHosts() {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates the content of a settings file.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{Roles: []Role{RoleEntry}}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, decodeError(err)
	}
	if problems := s.validate(); len(problems) > 0 {
		return nil, fmt.Errorf("%w: %s", ErrInvalid, strings.Join(problems, "; "))
	}
	return s, nil
}

func decodeError(err error) error {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%w: line %d: unknown key %q", ErrInvalid, row, strings.Join(strict.Errors[0].Key(), "."))
	}
	if decode, ok := errors.AsType[*toml.DecodeError](err); ok {
		row, column := decode.Position()
		return fmt.Errorf("%w: line %d, column %d: %s", ErrInvalid, row, column, decode.Error())
	}
	return fmt.Errorf("%w: %v", ErrInvalid, err)
}

func (s *Settings) validate() []string {
	var out []string
	fail := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if s.Limits.MemoryMB < 0 || s.Limits.Connections < 0 || s.Deployment.MemoryMB < 0 {
		fail("limits.memory_mb, limits.connections and deployment.memory_mb must not be negative")
	}
	switch s.Configuration {
	case SourceDocument:
		s.checkDeployment(fail)
		slices.Sort(out)
		return out
	case SourceRules, "":
	default:
		fail("configuration = %q must be rules or document", s.Configuration)
	}
	required := map[string]string{
		"name": s.Name, "data_centre": s.DataCentre, "region": s.Region,
		"security.operator_token_file": s.Security.OperatorTokenFile,
		"security.announce_token_file": s.Security.AnnounceTokenFile,
		"security.digest_key_file":     s.Security.DigestKeyFile,
	}
	for _, key := range slices.Sorted(maps.Keys(required)) {
		if required[key] == "" {
			fail("%s is missing", key)
		}
	}
	s.checkRoles(fail)
	s.checkHosts(fail)
	s.checkVoters(fail)
	s.checkTLS(fail)
	return out
}

func (s *Settings) checkRoles(fail func(string, ...any)) {
	if len(s.Roles) == 0 {
		fail("roles must not be empty")
	}
	for _, r := range s.Roles {
		if r != RoleEntry && r != RoleControl {
			fail("roles: unknown role %q (entry or control)", r)
		}
	}
	if s.HasRole(RoleControl) && s.DataDir == "" {
		fail("role control needs data_dir, because its state must be durable")
	}
}

func (s *Settings) checkHosts(fail func(string, ...any)) {
	seen := map[string]bool{}
	for i, h := range append([]Host{s.Self()}, s.Hosts...) {
		section := "listen"
		if i > 0 {
			section = fmt.Sprintf("hosts[%d] (%s)", i-1, h.Name)
			if h.Name == "" || h.DataCentre == "" || h.Region == "" {
				fail("%s needs name, data_centre and region", section)
			}
			if seen[h.Name] {
				fail("%s is listed twice", section)
			}
			seen[h.Name] = true
		}
		checkAddress(fail, section+".http", h.HTTP)
		checkAddress(fail, section+".peer", h.Peer)
	}
}

func checkAddress(fail func(string, ...any), key, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		fail("%s = %q must be an IP address and a port, as in 10.0.0.1:8080", key, address)
	}
}

func (s *Settings) checkVoters(fail func(string, ...any)) {
	n := len(s.Control.Voters)
	if n != 1 && n != 3 && n != 5 && n != 7 {
		fail("control.voters must name 1, 3, 5 or 7 hosts, not %d", n)
	}
	for _, v := range s.Control.Voters {
		if _, ok := s.Host(v); !ok {
			fail("control.voters names %q, which is not in hosts", v)
		}
	}
	if listed := slices.Contains(s.Control.Voters, s.Name); listed != s.HasRole(RoleControl) {
		fail("host %s must be in control.voters if and only if it has the role control", s.Name)
	}
}

func (s *Settings) checkTLS(fail func(string, ...any)) {
	sec := s.Security
	given := sec.PeerCert != "" || sec.PeerKey != "" || sec.PeerCA != ""
	complete := sec.PeerCert != "" && sec.PeerKey != "" && sec.PeerCA != ""
	switch {
	case given && !complete:
		fail("security.peer_cert, peer_key and peer_ca must be given together")
	case given && sec.AllowPlaintextPeers:
		fail("security.allow_plaintext_peers contradicts the peer certificates")
	case !given && !sec.AllowPlaintextPeers:
		fail("security.peer_cert, peer_key and peer_ca are missing (or set allow_plaintext_peers on loopback)")
	case sec.AllowPlaintextPeers && !s.allLoopback():
		fail("security.allow_plaintext_peers is only accepted when all peer addresses are loopback addresses")
	}
}

func (s *Settings) allLoopback() bool {
	for _, h := range s.AllHosts() {
		host, _, err := net.SplitHostPort(h.Peer)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return false
		}
	}
	return true
}

// ReadSecret reads a credential file and trims surrounding white space. It fails if
// fewer than minBytes are left.
func ReadSecret(path string, minBytes int) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("settings: read credential file: %w", err)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minBytes {
		return "", fmt.Errorf("%w: %s has %d bytes, at least %d are needed", ErrInvalid, path, len(secret), minBytes)
	}
	return secret, nil
}
