package fleet

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/keys"
)

// ApplyRequest is the JSON body of POST /admin/v1/rules.
type ApplyRequest struct {
	BaseRevision uint64 `json:"base_revision"`
	RequestID    string `json:"request_id"`
	Text         string `json:"text"`
	Operator     string `json:"operator"`
}

// GrantRequest is the JSON body of POST /admin/v1/keys. It has only the hash of the
// secret, which never leaves the operator's machine.
type GrantRequest struct {
	RequestID  string `json:"request_id"`
	KeyID      string `json:"key_id"`
	Workspace  string `json:"workspace"`
	SecretHash string `json:"secret_hash"`
	Operator   string `json:"operator"`
}

// ChangeResponse is the JSON response to a proposed change, except a withdrawal.
type ChangeResponse struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Message  string `json:"message,omitempty"`
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
	Winner   string `json:"winner,omitempty"`
	Digest   string `json:"digest,omitempty"`
}

// RulesResponse is the JSON response of GET /admin/v1/rules.
type RulesResponse struct {
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
	Text     string `json:"text"`
}

// HistoryEntry is one item of the JSON response of GET /admin/v1/history.
type HistoryEntry struct {
	Revision  uint64 `json:"revision"`
	Operator  string `json:"operator"`
	Digest    string `json:"digest"`
	RequestID string `json:"request_id"`
}

// HostReach reports whether a change or a withdrawal is in force on a host.
type HostReach struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Reached    bool   `json:"reached"`
	Index      uint64 `json:"index,omitempty"`
	// State is the reason if the host was not reached.
	State string `json:"state,omitempty"`
}

// SortReach sorts the list by host name.
func SortReach(list []HostReach) {
	slices.SortFunc(list, func(a, b HostReach) int { return strings.Compare(a.Name, b.Name) })
}

// WithdrawResponse is the JSON response to a withdrawal. The withdrawal is in force on
// the hosts that are marked as reached; the others receive it once they respond again.
type WithdrawResponse struct {
	Accepted bool   `json:"accepted"`
	KeyID    string `json:"key_id"`
	// Durable reports whether the responding host has stored the withdrawal on disk.
	Durable bool        `json:"durable"`
	Hosts   []HostReach `json:"hosts"`
}

// ReachResponse is the JSON response of GET /admin/v1/reach.
type ReachResponse struct {
	Hosts []HostReach `json:"hosts"`
}

// Propagator sends withdrawals and queries to the other hosts.
type Propagator interface {
	// Withdraw puts a withdrawal in force on this host and on all hosts that respond.
	Withdraw(ctx context.Context, w keys.Withdrawal) (WithdrawResponse, error)
	// Reach reports for each known host whether the index is in force there.
	Reach(ctx context.Context, index uint64) []HostReach
}

// Admin serves the operators' HTTP API for rules, keys and hosts.
type Admin struct {
	Log        control.Log
	Replica    *Replica
	Propagator Propagator
}

// Register adds the handlers to the group for /admin/v1.
func (a *Admin) Register(g *echo.Group) {
	g.GET("/rules", a.getRules)
	g.POST("/rules", a.applyRules)
	g.GET("/history", a.history)
	g.GET("/keys", a.listKeys)
	g.POST("/keys", a.grantKey)
	g.DELETE("/keys/:id", a.withdrawKey)
	g.GET("/reach", a.reach)
	g.DELETE("/hosts/:name", a.removeHost)
}

func (a *Admin) getRules(c echo.Context) error {
	v := a.Replica.View()
	return c.JSON(http.StatusOK, RulesResponse{Revision: v.Revision, Index: v.Index, Text: v.State.Rules})
}

func (a *Admin) history(c echo.Context) error {
	out := []HistoryEntry{}
	for _, r := range a.Replica.View().State.History {
		out = append(out, HistoryEntry{Revision: r.Number, Operator: r.Operator, Digest: r.Digest, RequestID: r.RequestId})
	}
	return c.JSON(http.StatusOK, out)
}

func (a *Admin) listKeys(c echo.Context) error {
	state := a.Replica.View().State
	type keyRow struct {
		ID        string `json:"id"`
		Workspace string `json:"workspace"`
		Operator  string `json:"operator"`
		Withdrawn bool   `json:"withdrawn"`
	}
	withdrawn := map[string]bool{}
	for _, id := range state.Withdrawn {
		withdrawn[id] = true
	}
	rows := []keyRow{}
	for _, k := range state.Keys {
		rows = append(rows, keyRow{k.Id, k.Workspace, k.Operator, withdrawn[k.Id]})
	}
	return c.JSON(http.StatusOK, rows)
}

func (a *Admin) applyRules(c echo.Context) error {
	var req ApplyRequest
	if err := c.Bind(&req); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body is not valid JSON")
	}
	if req.RequestID == "" || req.Operator == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "request_id and operator are required")
	}
	return a.propose(c, &fleetpb.Command{Kind: &fleetpb.Command_ApplyRules{ApplyRules: &fleetpb.ApplyRules{
		BaseRevision: req.BaseRevision, RequestId: req.RequestID, Text: req.Text, Operator: req.Operator,
	}}})
}

func (a *Admin) grantKey(c echo.Context) error {
	var req GrantRequest
	if err := c.Bind(&req); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body is not valid JSON")
	}
	hash, err := hex.DecodeString(req.SecretHash)
	if err != nil || len(hash) != 32 || req.KeyID == "" || req.RequestID == "" || req.Operator == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "request_id, key_id, operator and a SHA-256 secret_hash in hex are required")
	}
	if a.Replica.View().Rules.Workspaces[req.Workspace] == nil {
		return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("workspace %q has no rule", req.Workspace))
	}
	return a.propose(c, &fleetpb.Command{Kind: &fleetpb.Command_GrantKey{GrantKey: &fleetpb.GrantKey{
		RequestId: req.RequestID, KeyId: req.KeyID, Workspace: req.Workspace, SecretHash: hash, Operator: req.Operator,
	}}})
}

func (a *Admin) withdrawKey(c echo.Context) error {
	w := keys.Withdrawal{KeyID: c.Param("id"), Operator: c.QueryParam("operator")}
	response, err := a.Propagator.Withdraw(c.Request().Context(), w)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, response)
}

// reach reports on which hosts of the fleet an index is in force.
func (a *Admin) reach(c echo.Context) error {
	index, err := strconv.ParseUint(c.QueryParam("index"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "index must be a number")
	}
	return c.JSON(http.StatusOK, ReachResponse{Hosts: a.Propagator.Reach(c.Request().Context(), index)})
}

// removeHost asks the operator to confirm the removal by a redirect with the index of the
// state that this host has. Operators follow it only while they wait for the response, so a
// removal that was given up does not remove the host after its return.
func (a *Admin) removeHost(c echo.Context) error {
	confirm := func() error {
		location := *c.Request().URL
		query := location.Query()
		query.Set("after", strconv.FormatUint(a.Replica.View().Index, 10))
		location.RawQuery = query.Encode()
		return c.Redirect(http.StatusTemporaryRedirect, location.String())
	}
	if c.QueryParam("after") == "" {
		return confirm()
	}
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after must be a number")
	}
	err = a.propose(c, &fleetpb.Command{After: &after, Kind: &fleetpb.Command_RemoveHost{RemoveHost: &fleetpb.RemoveHost{
		Name: c.Param("name"), Operator: c.QueryParam("operator"),
	}}})
	if errors.Is(err, control.ErrRefused) && a.Replica.View().Index > after {
		return confirm()
	}
	return err
}

func (a *Admin) propose(c echo.Context, command *fleetpb.Command) error {
	result, err := Propose(c.Request().Context(), a.Log, command)
	switch {
	case errors.Is(err, control.ErrRefused):
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the change was certainly not made: "+err.Error()).SetInternal(err)
	case errors.Is(err, control.ErrNoQuorum):
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no quorum: the change was certainly not made")
	case err != nil:
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the outcome is uncertain: send the same request_id again ("+err.Error()+")")
	}
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	return c.JSON(status, ChangeResponse{
		Accepted: result.Accepted, Reason: result.Reason, Message: result.Message, Revision: result.Revision,
		Index: result.Index, Winner: result.Winner, Digest: result.Digest,
	})
}

// Propose commits a command through the replicated log and returns its result.
func Propose(ctx context.Context, log control.Log, command *fleetpb.Command) (*fleetpb.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("fleet: marshal command: %w", err)
	}
	out, err := log.Propose(ctx, MachineName, data)
	if err != nil {
		return nil, err
	}
	var result fleetpb.Result
	if err := proto.Unmarshal(out, &result); err != nil {
		return nil, fmt.Errorf("fleet: decode result: %w", err)
	}
	return &result, nil
}
