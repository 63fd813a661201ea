package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"geraniumturn.example/geraniumturn/internal/settings"
	"geraniumturn.example/geraniumturn/internal/standin"
)

// ErrUsage means that the command line is invalid.
var ErrUsage = errors.New("usage")

const minTokenBytes = 16

// flags holds the flag values and arguments of all commands.
type flags struct {
	hosts, tokenFile, operator string

	file, workspace, keyID, requestID string
	base                              uint64
	wait                              bool

	request, target, kind, revision string

	name, dataCentre, pool, models, listen string
	slots                                  int
	prefill, interval                      time.Duration

	against, settings string
	json              bool

	method, path, body, timeoutMS, idempotencyKey, callerKey string
}

// Run parses the arguments and runs one command.
func Run(args []string, out io.Writer, documents Documents) error {
	f := &flags{operator: os.Getenv("USER"), slots: 8, interval: 5 * time.Millisecond, prefill: 50 * time.Microsecond, listen: "127.0.0.1:0", method: "POST"}
	if f.operator == "" {
		f.operator = "operator"
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	commands, parser := f.commands(out, documents)
	if err := parser.ParseArgs(args); err != nil {
		return fmt.Errorf("%w: %v", ErrUsage, err)
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx)
		}
	}
	parser.ShowHelp()
	return fmt.Errorf("%w: a command is required", ErrUsage)
}

type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

// commands returns all commands and a parser with their flags.
func (f *flags) commands(out io.Writer, documents Documents) ([]command, *flaggy.Parser) {
	parser := flaggy.NewParser("geraniumctl")
	parser.Description = "command line for operators and testers of geraniumturn"
	parser.String(&f.hosts, "", "hosts", "HTTP addresses of entry hosts, separated by commas")
	parser.String(&f.tokenFile, "", "token-file", "file with the operator token (or the announce token for standin)")
	parser.String(&f.operator, "", "operator", "your name, kept in the history (default $USER)")
	var commands []command
	add := func(name, description string, run func(context.Context) error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		parser.AttachSubcommand(sub, 1)
		commands = append(commands, command{sub, run})
		return sub
	}
	withTool := func(run func(context.Context, *Tool) error) func(context.Context) error {
		return func(ctx context.Context) error {
			tool, err := f.tool(out)
			if err != nil {
				return err
			}
			return run(ctx, tool)
		}
	}
	add("init", "write the initial membership to all voters of a new fleet", withTool(func(ctx context.Context, t *Tool) error { return t.Init(ctx) }))
	c := add("check", "check a rules file or a configuration document", func(ctx context.Context) error { return f.check(ctx, out, documents) })
	c.AddPositionalValue(&f.file, "file", 1, true, "rules file or document")
	c.String(&f.against, "", "against", "hosts with the version in force: HTTP addresses of entry hosts for rules, control addresses for a document")
	c.String(&f.settings, "", "settings", "settings file of a host, for its memory and the regions")
	c.Bool(&f.json, "", "json", "print the report as JSON")
	c = add("apply", "apply a rules file as a new revision", withTool(func(ctx context.Context, t *Tool) error {
		return t.Apply(ctx, f.file, f.base, f.requestID, f.wait)
	}))
	c.AddPositionalValue(&f.file, "file", 1, true, "rules file")
	c.UInt64(&f.base, "", "base", "revision that the file is based on (default: the one in force)")
	c.String(&f.requestID, "", "request-id", "request id of an earlier attempt, to retry it safely")
	c.Bool(&f.wait, "w", "wait", "wait until it is in force on all hosts")
	c = add("diff", "show what a rules file would change", withTool(func(ctx context.Context, t *Tool) error { return t.Diff(ctx, f.file) }))
	c.AddPositionalValue(&f.file, "file", 1, true, "rules file")
	add("show", "print the rules in force", withTool(func(ctx context.Context, t *Tool) error { return t.Show(ctx) }))
	add("history", "list revisions with their operators", withTool(func(ctx context.Context, t *Tool) error { return t.History(ctx) }))
	c = add("grant", "grant a key to a workspace", withTool(func(ctx context.Context, t *Tool) error { return t.Grant(ctx, f.workspace, f.wait) }))
	c.AddPositionalValue(&f.workspace, "workspace", 1, true, "workspace name")
	c.Bool(&f.wait, "w", "wait", "wait until the key is in force on all hosts")
	c = add("withdraw", "withdraw a key on all hosts", withTool(func(ctx context.Context, t *Tool) error { return t.Withdraw(ctx, f.keyID) }))
	c.AddPositionalValue(&f.keyID, "key-id", 1, true, "key id")
	c = add("remove-host", "remove a permanently lost host from the fleet", withTool(func(ctx context.Context, t *Tool) error { return t.RemoveHost(ctx, f.name) }))
	c.AddPositionalValue(&f.name, "host", 1, true, "host name")
	add("keys", "list keys", withTool(func(ctx context.Context, t *Tool) error { return t.Print(ctx, "/admin/v1/keys") }))
	add("status", "print the status of all hosts", withTool(func(ctx context.Context, t *Tool) error { return t.Status(ctx) }))
	c = add("timeline", "print events of all hosts in causal order", withTool(func(ctx context.Context, t *Tool) error {
		return t.Timeline(ctx, f.timelineQuery())
	}))
	c.String(&f.request, "", "request", "only this request id")
	c.String(&f.workspace, "", "workspace", "only this workspace")
	c.String(&f.target, "", "target", "only this target")
	c.String(&f.kind, "", "kind", "only this kind of event")
	c.String(&f.revision, "", "revision", "only this revision")
	c = add("operations", "list operations or look one up; bodies are not shown", withTool(func(ctx context.Context, t *Tool) error {
		return t.Print(ctx, "/admin/v1/operations?"+f.operationsQuery().Encode())
	}))
	c.String(&f.workspace, "", "workspace", "only this workspace")
	c.String(&f.idempotencyKey, "", "idempotency-key", "look up this key of the workspace; the host of an unfinished operation is queried for its state")
	c = add("standin", "run a simulated target", func(ctx context.Context) error { return f.runStandin(ctx) })
	c.String(&f.name, "", "name", "name of the target")
	c.String(&f.dataCentre, "", "data-centre", "data centre of the target")
	c.String(&f.pool, "", "pool", "pool of the target")
	c.String(&f.models, "", "models", "models, separated by commas; a plain service has none")
	c.String(&f.listen, "", "listen", "IP:port to listen on")
	c.Int(&f.slots, "", "slots", "number of requests that run concurrently")
	c.Duration(&f.prefill, "", "prefill", "time per prompt token")
	c.Duration(&f.interval, "", "interval", "time per output token")
	c = add("call", "send one request as a caller and print the response", func(ctx context.Context) error { return f.call(ctx, out) })
	c.AddPositionalValue(&f.path, "path", 1, true, "request path")
	c.String(&f.method, "", "method", "HTTP method")
	c.String(&f.body, "", "body", "request body")
	c.String(&f.callerKey, "", "key", "caller's key")
	c.String(&f.idempotencyKey, "", "idempotency-key", "Idempotency-Key of the request")
	c.String(&f.timeoutMS, "", "timeout-ms", "deadline in milliseconds")
	return commands, parser
}

func (f *flags) hostList() []string { return splitHosts(f.hosts) }

func splitHosts(hosts string) []string {
	var out []string
	for _, h := range strings.Split(hosts, ",") {
		if h = strings.TrimSpace(h); h != "" {
			out = append(out, h)
		}
	}
	return out
}

func (f *flags) tool(out io.Writer) (*Tool, error) {
	hosts := f.hostList()
	if len(hosts) == 0 || f.tokenFile == "" {
		return nil, fmt.Errorf("%w: --hosts and --token-file are required", ErrUsage)
	}
	token, err := settings.ReadSecret(f.tokenFile, minTokenBytes)
	if err != nil {
		return nil, err
	}
	return &Tool{Admin: &AdminClient{Hosts: hosts, Token: token}, Operator: f.operator, Out: out}, nil
}

func (f *flags) check(ctx context.Context, out io.Writer, documents Documents) error {
	c := &Checker{Documents: documents, Against: splitHosts(f.against), Settings: f.settings, Out: out, JSON: f.json}
	if f.tokenFile != "" {
		token, err := settings.ReadSecret(f.tokenFile, minTokenBytes)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotUsable, err)
		}
		c.Admin = &AdminClient{Hosts: c.Against, Token: token}
	}
	return c.Check(ctx, f.file)
}

func (f *flags) timelineQuery() url.Values {
	q := url.Values{}
	for name, value := range map[string]string{
		"request": f.request, "workspace": f.workspace, "target": f.target, "kind": f.kind, "revision": f.revision,
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	return q
}

func (f *flags) operationsQuery() url.Values {
	q := url.Values{}
	if f.workspace != "" {
		q.Set("workspace", f.workspace)
	}
	if f.idempotencyKey != "" {
		q.Set("key", f.idempotencyKey)
	}
	return q
}

func (f *flags) runStandin(ctx context.Context) error {
	token, err := settings.ReadSecret(f.tokenFile, minTokenBytes)
	if err != nil {
		return err
	}
	if f.name == "" || f.dataCentre == "" || f.pool == "" || len(f.hostList()) == 0 {
		return fmt.Errorf("%w: --name, --data-centre, --pool and --hosts are required", ErrUsage)
	}
	var models []string
	if f.models != "" {
		models = strings.Split(f.models, ",")
	}
	target, err := standin.Start(standin.Config{
		Name: f.name, DataCentre: f.dataCentre, Pool: f.pool, Models: models, Listen: f.listen,
		AnnounceTo: f.hostList(), Token: token, Slots: f.slots, PrefillPerToken: f.prefill, TokenInterval: f.interval,
	})
	if err != nil {
		return err
	}
	defer target.Close()
	target.Run(ctx)
	return nil
}

func (f *flags) timeout() (time.Duration, error) {
	if f.timeoutMS == "" {
		return time.Minute, nil
	}
	ms, err := strconv.ParseInt(f.timeoutMS, 10, 64)
	if err != nil || ms < 1 {
		return 0, fmt.Errorf("%w: --timeout-ms must be a number above 0", ErrUsage)
	}
	return time.Duration(ms) * time.Millisecond, nil
}
