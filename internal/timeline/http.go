package timeline

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
)

// Register adds GET /timeline to the group for /admin/v1. Query parameters
// request, workspace, target, kind and revision filter the events.
func (l *Log) Register(g *echo.Group) {
	g.GET("/timeline", func(c echo.Context) error {
		f := Filter{
			Request: c.QueryParam("request"), Workspace: c.QueryParam("workspace"),
			Target: c.QueryParam("target"), Kind: c.QueryParam("kind"),
		}
		if text := c.QueryParam("revision"); text != "" {
			revision, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return echo.NewHTTPError(http.StatusBadRequest, "revision must be a whole number")
			}
			f.Revision = revision
		}
		return c.JSON(http.StatusOK, l.Events(f))
	})
}
