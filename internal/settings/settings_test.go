package settings

import (
	"errors"
	"os"
	"strings"
	"testing"
)

const valid = `
name = "gijon-1"
data_centre = "gijon-a"
region = "asturias"
roles = ["entry", "control"]
data_dir = "/tmp/x"
[listen]
http = "127.0.1.1:8080"
peer = "127.0.1.1:7000"
[control]
voters = ["gijon-1"]
[security]
operator_token_file = "op"
announce_token_file = "an"
digest_key_file = "dk"
allow_plaintext_peers = true
[[hosts]]
name = "bilbao-1"
data_centre = "bilbao-a"
region = "euskadi"
http = "127.0.2.1:8080"
peer = "127.0.2.1:7000"
`

func TestParseValid(t *testing.T) {
	s, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.AllHosts()) != 2 || !s.HasRole(RoleControl) {
		t.Errorf("settings = %+v", s)
	}
}

// An invalid settings file must fail with an error that names the key or the line.
func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown key", `region = "asturias"`, "region = \"asturias\"\ncolour = 1", `line 5: unknown key "colour"`},
		{"wrong type", `name = "gijon-1"`, "name = 5", "line 2"},
		{"missing name", `name = "gijon-1"`, "", "name is missing"},
		{"unknown role", `"entry", "control"`, `"entry", "control", "boss"`, `unknown role "boss"`},
		{"control without data_dir", `data_dir = "/tmp/x"`, "", "needs data_dir"},
		{"host name instead of IP address", "127.0.1.1:8080", "localhost:8080", "must be an IP address and a port"},
		{"even voters", `voters = ["gijon-1"]`, `voters = ["gijon-1","bilbao-1"]`, "1, 3, 5 or 7"},
		{"unlisted voter", `voters = ["gijon-1"]`, `voters = ["nobody"]`, "not in hosts"},
		{"plaintext on an address that is not loopback", "127.0.2.1:7000", "10.0.2.1:7000", "only accepted when all peer addresses are loopback"},
		{"no TLS", "allow_plaintext_peers = true", "", "are missing"},
		{"partial TLS", "allow_plaintext_peers = true", `peer_cert = "x"`, "must be given together"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, c.old, c.replacement, 1)))
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v does not contain %q", err, c.want)
			}
		})
	}
}

// The example in the operators' documentation must remain a valid settings file.
func TestDocumentedExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, fromExample, _ := strings.Cut(string(page), "```toml\n")
	example, _, _ := strings.Cut(fromExample, "```")
	example = strings.Replace(example, `voters = ["gijon-1", "santander-1", "bilbao-1"]`, `voters = ["gijon-1"]`, 1)
	if _, err := Parse([]byte(example)); err != nil {
		t.Error(err)
	}
}
