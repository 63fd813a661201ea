package rules

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ErrInvalid is wrapped by every error that Parse returns.
var ErrInvalid = errors.New("rules: invalid file")

const (
	// maxFileBytes bounds a rules file; 2,400 workspaces need about 300 KB.
	maxFileBytes = 4 << 20
	// maxTokens bounds rates, bursts and costs, so that their sums cannot overflow.
	maxTokens      = 1 << 40
	maxWeight      = 1000
	defaultTimeout = 120 * time.Second
	maxTimeout     = time.Hour
)

// Problem is one error in a rules file.
type Problem struct {
	// Line counts from 1; it is 0 for a problem of the whole file.
	Line    int
	Message string
	// Mend tells how to correct the file; empty if Message does.
	Mend string
}

func (p Problem) Error() string {
	if p.Line == 0 {
		return p.Message
	}
	return fmt.Sprintf("line %d: %s", p.Line, p.Message)
}

// Problems lists all errors of a file in line order.
type Problems []Problem

func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes errors.Is(err, ErrInvalid) true.
func (ps Problems) Unwrap() error { return ErrInvalid }

type parser struct {
	set       *Set
	problems  Problems
	line      int
	definedAt map[string]int // kind and name of a rule -> line of its first definition
}

// Parse parses a rules file. If the file has any error, Parse returns Problems and
// no set.
func Parse(text string) (*Set, error) {
	if len(text) > maxFileBytes {
		return nil, Problems{{Message: fmt.Sprintf("file has %d bytes, more than the limit of %d", len(text), maxFileBytes)}}
	}
	p := &parser{set: EmptySet(), definedAt: map[string]int{}}
	p.set.lines = p.definedAt
	for i, line := range strings.Split(text, "\n") {
		p.line = i + 1
		p.parseLine(strings.TrimSpace(line))
	}
	p.checkReferences()
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, p.problems
	}
	return p.set, nil
}

// addProblem returns the problem, for the caller to set Mend.
func (p *parser) addProblem(format string, args ...any) *Problem {
	p.problems = append(p.problems, Problem{Line: p.line, Message: fmt.Sprintf(format, args...)})
	return &p.problems[len(p.problems)-1]
}

func (p *parser) parseLine(line string) {
	if line == "" || strings.HasPrefix(line, "#") {
		return
	}
	rule, comment, _ := strings.Cut(line, "#")
	requester := strings.TrimSpace(comment)
	if requester == "" {
		p.addProblem("the rule has no comment that names who asked for it (add \"# name\")")
		return
	}
	words := strings.Fields(rule)
	if len(words) < 2 {
		p.addProblem("a rule needs a kind and a name").Mend = "write it as in: pool NAME kind=engine # requester"
		return
	}
	options, ok := p.parseOptions(words[2:])
	if !ok {
		return
	}
	p.parseRule(words[0], words[1], options, requester)
	p.rejectUnused(words[0], options)
}

func (p *parser) parseRule(kind, name string, o *options, requester string) {
	if first, ok := p.definedAt[kind+" "+name]; ok {
		p.addProblem("%s %s is already defined in line %d", kind, name, first).Mend = "remove one of the two lines, or rename one"
		return
	}
	p.definedAt[kind+" "+name] = p.line
	if kind != "route" && !validName(name) {
		p.addProblem("%s name %q may only have letters, digits, '.', '_', '-', ':' and '/', at most 128 bytes", kind, name)
		return
	}
	switch kind {
	case "workspace":
		p.parseWorkspace(name, o, requester)
	case "pool":
		p.parsePool(name, o, requester)
	case "model":
		p.set.Models[name] = &Model{Name: name, Pool: o.text("pool", ""), Requester: requester}
	case "route":
		p.parseRoute(name, o, requester)
	default:
		p.addProblem("unknown rule kind %q (workspace, pool, model or route)", kind)
		o.values = nil
	}
}

func (p *parser) parseWorkspace(name string, o *options, requester string) {
	w := &Workspace{
		Name:      name,
		Rate:      o.rate("rate"),
		Burst:     o.tokens("burst", 0),
		Weight:    int(o.integer("weight", 1, 1, maxWeight)),
		Home:      o.text("home", ""),
		Requester: requester,
	}
	if residency := o.text("residency", "any"); residency != "any" {
		w.Residency = strings.Split(residency, ",")
		if slices.Contains(w.Residency, "") {
			p.addProblem("residency has an empty data centre name").Mend = "remove the extra comma"
		}
	}
	if w.Rate <= 0 || w.Burst <= 0 {
		p.addProblem("workspace %s needs rate=N/s and burst=N, both above 0 tokens", name)
	}
	if w.Home != "" && !w.Allows(w.Home) {
		p.addProblem("home %s of workspace %s is outside its residency", w.Home, name).Mend = "add the data centre to the residency, or choose a home within it"
	}
	p.set.Workspaces[name] = w
}

func (p *parser) parsePool(name string, o *options, requester string) {
	kind := PoolKind(o.text("kind", ""))
	if kind != Engine && kind != Service {
		p.addProblem("pool %s needs kind=engine or kind=service", name)
	}
	p.set.Pools[name] = &Pool{Name: name, Kind: kind, Requester: requester}
}

func (p *parser) parseRoute(path string, o *options, requester string) {
	if !strings.HasPrefix(path, "/") || strings.Contains(strings.TrimSuffix(path, "/*"), "*") {
		p.addProblem("route path %q must begin with / and may only end in /*", path)
	}
	for _, reserved := range []string{"/admin/", "/targets/", "/healthz", "/readyz", "/metrics", "/v1/hosts"} {
		if strings.HasPrefix(path, reserved) {
			p.addProblem("route path %s is reserved for the system", path).Mend = "choose another path"
		}
	}
	r := &Route{
		Path:       path,
		Pool:       o.text("pool", ""),
		Idempotent: o.yesNo("idempotent", ""),
		Open:       o.yesNo("open", "no"),
		Class:      Class(o.oneOf("class", string(Interactive), string(Interactive), string(Batch))),
		Reach:      Reach(o.oneOf("reach", string(ReachAny), string(ReachDataCentre), string(ReachRegion), string(ReachAny))),
		Cost:       o.tokens("cost", 1),
		Timeout:    o.duration("timeout", defaultTimeout),
		Requester:  requester,
	}
	if methods := o.text("methods", ""); methods != "" {
		r.Methods = strings.Split(strings.ToUpper(methods), ",")
	}
	if r.Open && r.Pool == "" {
		p.addProblem("open route %s needs a pool, since there is no workspace to charge for a model", path).Mend = "add pool=NAME, or remove open=yes"
	}
	p.set.Routes = append(p.set.Routes, r)
}

// checkReferences verifies that models and routes refer to defined pools, and models
// to pools of kind engine.
func (p *parser) checkReferences() {
	for _, m := range p.set.Models {
		p.line = p.definedAt["model "+m.Name]
		pool, ok := p.set.Pools[m.Pool]
		if !ok {
			p.addProblem("model %s names pool %q, which is not defined", m.Name, m.Pool).Mend = "define the pool, or name one of the file"
		} else if pool.Kind != Engine {
			p.addProblem("model %s names pool %s, which is not of kind engine", m.Name, m.Pool).Mend = "name a pool with kind=engine"
		}
	}
	for _, r := range p.set.Routes {
		p.line = p.definedAt["route "+r.Path]
		if _, ok := p.set.Pools[r.Pool]; r.Pool != "" && !ok {
			p.addProblem("route %s names pool %q, which is not defined", r.Path, r.Pool).Mend = "define the pool, or name one of the file"
		}
	}
}

func validName(name string) bool {
	if len(name) > 128 {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("._-:/", c) {
			return false
		}
	}
	return name != ""
}

// options holds the key=value words of one rule. Its methods remove the option that
// they read, so that rejectUnused finds the options that no method has read. They add a
// problem to the parser for each invalid value.
type options struct {
	parser *parser
	values map[string]string
}

func (p *parser) parseOptions(words []string) (*options, bool) {
	o := &options{parser: p, values: map[string]string{}}
	for _, word := range words {
		key, value, ok := strings.Cut(word, "=")
		if !ok || key == "" || value == "" {
			p.addProblem("%q is not of the form option=value", word)
			return nil, false
		}
		if _, duplicate := o.values[key]; duplicate {
			p.addProblem("option %s is given twice", key).Mend = "keep one of the two"
			return nil, false
		}
		o.values[key] = value
	}
	return o, true
}

// rejectUnused adds a problem for each option that the rule's kind does not have.
func (p *parser) rejectUnused(kind string, o *options) {
	unused := make([]string, 0, len(o.values))
	for key := range o.values {
		unused = append(unused, key)
	}
	slices.Sort(unused)
	for _, key := range unused {
		p.addProblem("%s has no option %q", kind, key).Mend = "remove the option, or correct its name"
	}
}

func (o *options) text(key, fallback string) string {
	value, ok := o.values[key]
	delete(o.values, key)
	if !ok {
		return fallback
	}
	return value
}

func (o *options) oneOf(key, fallback string, allowed ...string) string {
	value := o.text(key, fallback)
	if !slices.Contains(allowed, value) {
		o.parser.addProblem("%s=%s must be one of %s", key, value, strings.Join(allowed, ", "))
	}
	return value
}

// yesNo reads an option with the value yes or no. The option is required if fallback is
// empty.
func (o *options) yesNo(key, fallback string) bool {
	value := o.text(key, fallback)
	if value != "yes" && value != "no" {
		o.parser.addProblem("%s must be yes or no", key)
	}
	return value == "yes"
}

func (o *options) integer(key string, fallback, minimum, maximum int64) int64 {
	value, ok := o.values[key]
	delete(o.values, key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < minimum || n > maximum {
		o.parser.addProblem("%s=%s must be a whole number from %d to %d", key, value, minimum, maximum)
		return fallback
	}
	return n
}

func (o *options) tokens(key string, fallback int64) int64 {
	return o.integer(key, fallback, 1, maxTokens)
}

func (o *options) rate(key string) int64 {
	value, ok := o.values[key]
	if !ok {
		return 0
	}
	number, perSecond := strings.CutSuffix(value, "/s")
	if !perSecond {
		delete(o.values, key)
		o.parser.addProblem("%s=%s needs the unit tokens per second, as in %s=2000/s", key, value, key)
		return 0
	}
	o.values[key] = number
	return o.tokens(key, 0)
}

func (o *options) duration(key string, fallback time.Duration) time.Duration {
	value := o.text(key, fallback.String())
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 || d > maxTimeout {
		o.parser.addProblem("%s=%s must be a duration with unit from 1ms to 1h, as in 30s", key, value)
		return fallback
	}
	return d
}
