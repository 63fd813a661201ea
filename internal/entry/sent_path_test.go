package entry

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"geraniumturn.example/geraniumturn/internal/fleet"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// Guards against a request that takes a route whose prefix its path begins with only when decoded.
func TestRouteIsChosenByPathAsSent(t *testing.T) {
	outer, inner := &rules.Route{Path: "/once/*", Open: true}, &rules.Route{Path: "/once/safe/*", Open: true, Idempotent: true}
	view := &fleet.View{Rules: &rules.Set{Routes: []*rules.Route{outer, inner}}}
	for target, want := range map[string]*rules.Route{
		"/once/safe/x%2Fy":         inner,
		"http://h/once/safe/x":     inner,
		"/once/safe%2Fx":           outer,
		"/once/safe%2Fx\"":         outer,
		"/once/safe?q=/once/safe/": outer,
		"http://h/once/safe%2Fx":   outer,
	} {
		k := &call{}
		c := echo.New().NewContext(httptest.NewRequest("POST", target, strings.NewReader("")), httptest.NewRecorder())
		if err := (&Server{}).authenticate(c, k, view); err != nil || k.route != want {
			t.Errorf("%s: route %v, %v", target, k.route, err)
		}
	}
}
