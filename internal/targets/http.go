package targets

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

// MaxAnnouncementBytes bounds the body of an announcement.
const MaxAnnouncementBytes = 256 << 10

// Relay passes an announcement on to the other hosts of the data centre.
type Relay func(data []byte, urgent bool)

// Register adds POST /announce to the group for /targets/v1.
func Register(g *echo.Group, table *Table, relay Relay) {
	g.POST("/announce", func(c echo.Context) error {
		var a Announcement
		body := http.MaxBytesReader(c.Response(), c.Request().Body, MaxAnnouncementBytes)
		if err := json.NewDecoder(body).Decode(&a); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("announcement is no valid JSON: %v", err))
		}
		urgent, err := table.Announce(time.Now(), a)
		switch {
		case errors.Is(err, ErrStale):
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		case err != nil:
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		if data, err := json.Marshal(a); err == nil {
			relay(data, urgent)
		}
		return c.NoContent(http.StatusNoContent)
	})
}

// Service takes announcements that other hosts pass on.
type Service struct{ Table *Table }

// Relay implements the drpc service.
func (s Service) Relay(_ context.Context, in *targetspb.RelayRequest) (*targetspb.RelayResponse, error) {
	var a Announcement
	if err := json.Unmarshal(in.GetAnnouncement(), &a); err != nil {
		return nil, fmt.Errorf("targets: relayed announcement: %w", err)
	}
	if _, err := s.Table.Announce(time.Now(), a); err != nil && !errors.Is(err, ErrStale) {
		return nil, err
	}
	return &targetspb.RelayResponse{}, nil
}
