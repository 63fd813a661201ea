package document

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by every error about the content of a document.
var ErrInvalid = errors.New("document: invalid")

// Section is a list of entries of a document, or its limits.
type Section string

// The sections of a document. Whole stands for the document itself.
const (
	Whole            Section = ""
	RouteSection     Section = "route"
	ServiceSection   Section = "service"
	WorkspaceSection Section = "workspace"
	LimitsSection    Section = "limits"
)

// maxReportedErrors is the number of problems that the text of Problems lists.
const maxReportedErrors = 10

// Place identifies a part of a document: an entry by its position in a section and, if
// Field is set, one of its fields by the name in Go.
type Place struct {
	Section  Section
	Position int
	// Name is the name of the entry.
	Name  string
	Field string
}

func (p Place) String() string {
	return strings.TrimSpace(string(p.Section) + " " + p.Name)
}

// Problem is one reason for which a document is invalid.
type Problem struct {
	Place Place
	// Line counts from 1 in the content from which the document was decoded; 0 means
	// unknown.
	Line    int
	Message string
	// Mend tells how to correct the document.
	Mend string
}

func (p Problem) Error() string {
	if p.Line == 0 {
		return p.Message
	}
	return fmt.Sprintf("line %d: %s", p.Line, p.Message)
}

// Problems lists the reasons for which a document is invalid.
type Problems []Problem

func (ps Problems) Error() string {
	var texts []string
	for i, p := range ps {
		if i == maxReportedErrors {
			texts = append(texts, fmt.Sprintf("and %d more", len(ps)-i))
			break
		}
		texts = append(texts, p.Error())
	}
	return ErrInvalid.Error() + ": " + strings.Join(texts, "; ")
}

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (ps Problems) Unwrap() error { return ErrInvalid }

// Validate checks the values of the document and the references within it. An error is
// of type Problems.
func (d *Document) Validate() error {
	v := &validator{services: map[string]bool{}, routes: map[string]string{}, keys: map[string]string{}}
	for i, s := range d.Services {
		v.place = Place{Section: ServiceSection, Position: i, Name: s.Name}
		if s.Name == "" || v.services[s.Name] {
			v.add("Name", "give the service a name of its own or remove it", "service %q is unnamed or listed twice", s.Name)
		}
		v.services[s.Name] = true
	}
	for i := range d.Routes {
		v.place = Place{Section: RouteSection, Position: i, Name: d.Routes[i].Name}
		v.route(&d.Routes[i])
	}
	for i, w := range d.Workspaces {
		v.place = Place{Section: WorkspaceSection, Position: i, Name: w.Name}
		v.workspace(w)
	}
	if len(v.problems) > 0 {
		return v.problems
	}
	return nil
}

type validator struct {
	problems Problems
	place    Place
	services map[string]bool
	routes   map[string]string // host and prefix -> name of the route
	keys     map[string]string // key -> name of the workspace
}

func (v *validator) add(field, mend, format string, args ...any) {
	place := v.place
	place.Field = field
	v.problems = append(v.problems, Problem{Place: place, Message: fmt.Sprintf(format, args...), Mend: mend})
}

func (v *validator) route(r *Route) {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add("Prefix", "give a host and a prefix of the form /name/", "route %s needs a host and a path prefix that begins and ends with a slash", r.Name)
	}
	if r.Timeout <= 0 {
		v.add("Timeout", "give the longest time that a caller may wait", "route %s has no timeout", r.Name)
	}
	if r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Streaming {
		v.add("Kind", fmt.Sprintf("use %s, %s or %s", Idempotent, NonIdempotent, Streaming), "route %s has unknown kind %q", r.Name, r.Kind)
	}
	key := strings.ToLower(r.Host) + r.Prefix
	if other, used := v.routes[key]; used {
		v.add("Prefix", "remove one of them, or give it another prefix", "routes %s and %s have the same host and path prefix %s", other, r.Name, key)
	} else {
		v.routes[key] = r.Name
	}
	totalWeight := 0
	for _, s := range r.Split {
		if !v.services[s.Service] {
			v.add("Split", "add the service or name one of the document", "route %s names unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			v.add("Split", "use a weight of 0 or more", "route %s has a negative weight", r.Name)
		}
		totalWeight += s.Weight
	}
	if totalWeight <= 0 {
		v.add("Split", "give one service a weight above 0", "the weights of route %s add up to 0", r.Name)
	}
}

func (v *validator) workspace(w Workspace) {
	if w.Name == "" {
		v.add("Name", "give the workspace a name", "a workspace has no name")
	}
	for _, k := range w.Keys {
		if other, used := v.keys[k]; used && other != w.Name {
			v.add("Keys", "leave the key to one of them", "workspaces %s and %s share a key", other, w.Name)
		}
		v.keys[k] = w.Name
	}
}
