package targets

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

// MaxAnnouncementBytes limits the body of an announcement.
const MaxAnnouncementBytes = 256 << 10

// Register adds POST /announce and POST /cache-events to the group for
// /targets/v1. It calls onUrgent with each announcement that must be relayed to
// other hosts immediately.
func Register(g *echo.Group, table *Table, onUrgent func(*Announcement)) {
	g.POST("/announce", func(c echo.Context) error {
		data, err := readBody(c, MaxAnnouncementBytes)
		if err != nil {
			return err
		}
		a, err := DecodeAnnouncement(data)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		isUrgent, err := table.Announce(time.Now(), a)
		if err != nil {
			return httpError(err)
		}
		if isUrgent {
			onUrgent(&a)
		}
		return c.NoContent(http.StatusNoContent)
	})
	g.POST("/cache-events", func(c echo.Context) error {
		data, err := readBody(c, MaxCacheEventBytes)
		if err != nil {
			return err
		}
		e, err := DecodeCacheEvent(data)
		if err != nil {
			return httpError(err)
		}
		if err := table.ApplyCacheEvent(&e); err != nil {
			return httpError(err)
		}
		return c.NoContent(http.StatusNoContent)
	})
}

func readBody(c echo.Context, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("cannot read the request body: %v", err))
	}
	return data, nil
}

func httpError(err error) error {
	switch {
	case errors.Is(err, ErrStale):
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	case errors.Is(err, ErrFull):
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return echo.NewHTTPError(http.StatusBadRequest, err.Error())
}

// Service receives the relay messages of other hosts.
type Service struct{ Table *Table }

// Relay implements targetspb.DRPCTargetsServer.
func (s Service) Relay(ctx context.Context, in *targetspb.RelayRequest) (*targetspb.RelayResponse, error) {
	out, err := s.Table.Receive(time.Now(), peer.Sender(ctx), in)
	if err != nil {
		return nil, fmt.Errorf("targets: relay from %s: %w", peer.Sender(ctx), err)
	}
	return out, nil
}
