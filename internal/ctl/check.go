package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"geraniumturn.example/geraniumturn/internal/configcheck"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/settings"
)

var (
	// ErrFindings means that hosts accept a configuration that has findings.
	ErrFindings = errors.New("findings")
	// ErrNotUsable means that hosts refuse a configuration, or that it could not be checked.
	ErrNotUsable = errors.New("not usable")
)

const (
	exitFailed    = 1
	exitNotUsable = 2
)

// ExitCode returns the exit code of the program for the error of Run.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ErrNotUsable):
		return exitNotUsable
	}
	return exitFailed
}

// Documents are the functions of the deployment's protocol that read documents.
type Documents struct {
	// MaxBytes is the size above which hosts refuse a document.
	MaxBytes int
	Decode   func(content []byte) (*document.Document, error)
	Locate   func(content []byte) func(document.Place) (line int, field string)
	// Read returns the document in force from the control host at an address.
	Read func(ctx context.Context, client *http.Client, address string) ([]byte, error)
}

// The kinds of files.
const (
	kindRules    = "rules"
	kindDocument = "document"
)

// Report is the result of a check.
type Report struct {
	File string `json:"file"`
	Kind string `json:"kind"`
	// Usable is false if hosts refuse the file.
	Usable bool `json:"usable"`
	// Version is that of a document, InForce the version or revision that hosts have.
	Version  uint64                `json:"version,omitempty"`
	InForce  *uint64               `json:"in_force,omitempty"`
	Findings []configcheck.Finding `json:"findings"`
	// Changes are null if the file was not compared.
	Changes []configcheck.Change `json:"changes"`
	// NotChecked lists the checks that need a further flag.
	NotChecked []string `json:"not_checked"`
}

// Checker checks a configuration before it is sent.
type Checker struct {
	Documents Documents
	// Against are the hosts that have the version in force, or nil. For a rules file Admin
	// calls them.
	Against []string
	Admin   *AdminClient
	// Settings is the path of the settings of a host, or empty.
	Settings string
	Out      io.Writer
	JSON     bool
}

// Check checks a rules file or a document and prints a report. It returns ErrFindings or
// ErrNotUsable unless the file is clean.
func (c *Checker) Check(ctx context.Context, path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotUsable, err)
	}
	report := &Report{File: path, Kind: kindRules, Findings: []configcheck.Finding{}, NotChecked: []string{}}
	if bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")) {
		report.Kind = kindDocument
		err = c.document(ctx, report, content)
	} else {
		err = c.rules(ctx, report, string(content))
	}
	if printErr := c.print(report); printErr != nil {
		return printErr
	}
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNotUsable, err)
	case !report.Usable:
		return fmt.Errorf("%w: hosts refuse the file", ErrNotUsable)
	case len(report.Findings) > 0:
		return fmt.Errorf("%w: %d", ErrFindings, len(report.Findings))
	}
	return nil
}

func (c *Checker) rules(ctx context.Context, report *Report, text string) error {
	set, err := rules.Parse(text)
	if err != nil {
		report.Findings = configcheck.FromError(err, nil)
		return nil
	}
	report.Usable = true
	if len(c.Against) == 0 {
		report.Findings = append(report.Findings, configcheck.Rules(set, configcheck.Site{})...)
		report.NotChecked = append(report.NotChecked, "data centres of the hosts, and changes (--against)")
		return nil
	}
	site, current, err := c.rulesInForce(ctx)
	report.Findings = append(report.Findings, configcheck.Rules(set, site)...)
	if err != nil {
		return fmt.Errorf("version in force: %w", err)
	}
	inForce, err := rules.Parse(current.Text)
	if err != nil {
		return fmt.Errorf("version in force: %w", err)
	}
	report.InForce = &current.Revision
	report.Changes = configcheck.RuleChanges(inForce, set)
	return nil
}

// rulesInForce returns the data centres of the hosts and the rules that they have.
func (c *Checker) rulesInForce(ctx context.Context) (configcheck.Site, fleet.RulesResponse, error) {
	var current fleet.RulesResponse
	var reach fleet.ReachResponse
	var site configcheck.Site
	if c.Admin == nil {
		return site, current, fmt.Errorf("%w: --against needs --token-file for a rules file", ErrUsage)
	}
	if err := c.Admin.Call(ctx, "GET", "/admin/v1/rules", nil, &current); err != nil {
		return site, current, err
	}
	if err := c.Admin.Call(ctx, "GET", "/admin/v1/reach?index=0", nil, &reach); err != nil {
		return site, current, err
	}
	for _, h := range reach.Hosts {
		site.DataCentres = append(site.DataCentres, h.DataCentre)
	}
	return site, current, nil
}

func (c *Checker) document(ctx context.Context, report *Report, content []byte) error {
	if limit := c.Documents.MaxBytes; len(content) > limit {
		report.Findings = append(report.Findings, configcheck.TooLarge(len(content), limit))
		return nil
	}
	locate := c.Documents.Locate(content)
	d, err := c.Documents.Decode(content)
	if err != nil {
		report.Findings = configcheck.FromError(err, locate)
		return nil
	}
	report.Usable, report.Version = true, d.Version
	site := configcheck.Site{}
	if c.Settings == "" {
		report.NotChecked = append(report.NotChecked, "memory and regions of the hosts (--settings)")
	} else {
		s, err := settings.Load(c.Settings)
		if err != nil {
			return err
		}
		site.MemoryBytes = int64(s.Deployment.MemoryMB) << 20
		site.Regions = slices.Compact(slices.Sorted(maps.Values(s.Deployment.Regions)))
	}
	report.Findings = append(report.Findings, configcheck.Document(d, site, locate)...)
	if len(c.Against) == 0 {
		report.NotChecked = append(report.NotChecked, "changes (--against)")
		return nil
	}
	inForce, err := c.documentInForce(ctx)
	if err != nil {
		return fmt.Errorf("version in force: %w", err)
	}
	report.InForce = &inForce.Version
	report.Changes = configcheck.DocumentChanges(inForce, d, locate)
	if d.Version <= inForce.Version && len(report.Changes) > 0 {
		report.Findings = slices.Insert(report.Findings, 0, configcheck.Outdated(d.Version, inForce.Version, locate))
	}
	return nil
}

func (c *Checker) documentInForce(ctx context.Context) (*document.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var failures []error
	for _, host := range c.Against {
		content, err := c.Documents.Read(ctx, http.DefaultClient, host)
		if err == nil {
			return c.Documents.Decode(content)
		}
		failures = append(failures, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnreachable, errors.Join(failures...))
}

func (c *Checker) print(r *Report) error {
	if c.JSON {
		return printJSON(c.Out, r)
	}
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s\n", r.File, f)
	}
	for _, change := range r.Changes {
		fmt.Fprintln(&b, change)
	}
	for _, n := range r.NotChecked {
		fmt.Fprintln(&b, "not checked:", n)
	}
	errorCount, warnings := 0, 0
	for _, f := range r.Findings {
		if f.Severity == configcheck.Error {
			errorCount++
		} else {
			warnings++
		}
	}
	fmt.Fprintf(&b, "%s: %s, %d errors, %d warnings", r.File, r.Kind, errorCount, warnings)
	if r.InForce != nil {
		fmt.Fprintf(&b, ", %d changes against version %d in force", len(r.Changes), *r.InForce)
	}
	_, err := fmt.Fprintln(c.Out, b.String())
	return err
}
