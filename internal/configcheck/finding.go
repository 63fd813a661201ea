package configcheck

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// Severity tells whether hosts accept a configuration with a finding.
type Severity string

const (
	// Error is a fault for which hosts refuse the configuration.
	Error Severity = "error"
	// Warning is a fault that hosts accept.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Line counts from 1; 0 means the whole file.
	Line int `json:"line,omitempty"`
	// Entry is the kind and name of an entry, Field one of its fields as the file names it.
	Entry   string `json:"entry,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Mend    string `json:"mend,omitempty"`
}

func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	fmt.Fprintf(&b, "%s: ", f.Severity)
	if place := strings.TrimSpace(f.Entry + " " + f.Field); place != "" {
		fmt.Fprintf(&b, "%s: ", place)
	}
	b.WriteString(f.Message)
	if f.Mend != "" {
		fmt.Fprintf(&b, "; mend: %s", f.Mend)
	}
	return b.String()
}

// Site is what is known of the hosts. Checks that need an empty field are left out.
type Site struct {
	// MemoryBytes is the memory limit of a host.
	MemoryBytes int64
	Regions     []string
	DataCentres []string
}

// Locate gives the line of a place in the file, and the name that its field has there.
type Locate func(document.Place) (line int, field string)

// FromError returns the findings for an error of rules.Parse or of decoding a document.
func FromError(err error, locate Locate) []Finding {
	var out []Finding
	switch problems := err.(type) {
	case rules.Problems:
		for _, p := range problems {
			out = append(out, Finding{Severity: Error, Line: p.Line, Message: p.Message, Mend: p.Mend})
		}
	case document.Problems:
		for _, p := range problems {
			_, field := locate(p.Place)
			out = append(out, Finding{Severity: Error, Line: p.Line, Entry: p.Place.String(), Field: field, Message: p.Message, Mend: p.Mend})
		}
	default:
		out = append(out, Finding{Severity: Error, Message: err.Error()})
	}
	return sorted(out)
}

func sorted(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return findings
}

// maxNames bounds the names in one message.
const maxNames = 3

func nameList(names []string) string {
	if len(names) <= maxNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
}

// missing returns the names that are not known; none if nothing is known.
func missing(names, known []string) []string {
	var out []string
	for _, n := range names {
		if len(known) > 0 && !slices.Contains(known, n) {
			out = append(out, n)
		}
	}
	return out
}

// keyDigest describes keys without showing them.
func keyDigest(keys []string) string {
	hash := sha256.Sum256([]byte(strings.Join(slices.Sorted(slices.Values(keys)), "\n")))
	return fmt.Sprintf("%d keys (%x)", len(keys), hash[:4])
}
