package operations

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"geraniumturn.example/geraniumturn/internal/control"
	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
)

// Row is one operation in the response of the admin API. It holds no body and no
// idempotency key, only the digest of the key.
type Row struct {
	Workspace  string    `json:"workspace"`
	KeyDigest  string    `json:"key_digest"`
	Attempt    string    `json:"attempt"`
	Host       string    `json:"host"`
	DataCentre string    `json:"data_centre"`
	State      string    `json:"state"`
	Status     int       `json:"status,omitempty"`
	Holders    []string  `json:"holders,omitempty"`
	Begun      time.Time `json:"begun"`
	Expires    time.Time `json:"expires"`
}

// Register adds GET /operations to the group for /admin/v1. It lists records, newest
// first, filtered by the query parameters workspace and limit; with the parameter
// key it returns the record of that idempotency key.
func (s *Service) Register(g *echo.Group) {
	g.GET("/operations", s.list)
}

func (s *Service) list(c echo.Context) error {
	workspace, key := c.QueryParam("workspace"), c.QueryParam("key")
	limit, _ := strconv.Atoi(c.QueryParam("limit"))
	command := &pb.Command{Kind: &pb.Command_List{List: &pb.List{Workspace: workspace, Limit: int32(min(max(limit, 0), MaxListed))}}}
	if key != "" {
		if workspace == "" {
			return echo.NewHTTPError(http.StatusBadRequest, "query parameter key requires workspace")
		}
		command = &pb.Command{Kind: &pb.Command_Look{Look: &pb.Look{KeyDigest: s.KeyDigest(workspace, key)}}}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), proposeTimeout)
	defer cancel()
	result, err := s.propose(ctx, command)
	switch {
	case errors.Is(err, control.ErrNoQuorum) || errors.Is(err, control.ErrUncertain):
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no quorum: the records cannot be read")
	case err != nil:
		return err
	}
	records := result.GetRecords()
	if r := result.GetRecord(); r != nil {
		records = append(records, r)
	}
	rows := []Row{}
	for _, r := range records {
		rows = append(rows, s.row(ctx, r, key != ""))
	}
	return c.JSON(http.StatusOK, rows)
}

// row describes a record. With queryHost it asks the host of an unfinished record
// for the state of the attempt.
func (s *Service) row(ctx context.Context, r *pb.Record, queryHost bool) Row {
	row := Row{
		Workspace: r.GetWorkspace(), KeyDigest: hex.EncodeToString(r.GetKeyDigest()), Attempt: r.GetAttempt(),
		Host: r.GetHost(), DataCentre: r.GetDataCentre(), State: "open", Status: int(r.GetStatus()), Holders: r.GetHolders(),
		Begun: time.UnixMilli(r.GetBegunMs()).UTC(), Expires: time.UnixMilli(r.GetExpiresMs()).UTC(),
	}
	if r.GetFinishedMs() != 0 {
		row.State = "finished"
		return row
	}
	if queryHost {
		response, _ := s.fetchStatus(ctx, r.GetHost(), &pb.StatusRequest{Attempt: r.GetAttempt()})
		row.State = map[pb.StatusResponse_State]string{
			pb.StatusResponse_RUNNING: "running", pb.StatusResponse_NOT_RUN: "not_run", pb.StatusResponse_ANSWERED: "answered",
		}[response.GetState()]
		if row.State == "" {
			row.State = "unknown"
		}
	}
	return row
}
