package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// oneVoterLog is a replicated log of one voter, which applies a command as it admits it.
type oneVoterLog struct {
	machine *Machine
	replica *Replica
	index   uint64
}

func (l *oneVoterLog) Propose(_ context.Context, _ string, command []byte) ([]byte, error) {
	if err := l.machine.Admit(nil, command); err != nil {
		return nil, fmt.Errorf("%w: %w", control.ErrRefused, err)
	}
	l.index++
	result := l.machine.Apply(l.index, command)
	_, err := l.replica.Install(l.machine.State())
	return result, err
}
func (*oneVoterLog) Lease() (uint64, bool)         { return 1, true }
func (*oneVoterLog) LeaseRemaining() time.Duration { return time.Second }

func (l *oneVoterLog) put(t *testing.T, name string, after uint64) error {
	t.Helper()
	_, err := Propose(t.Context(), l, &fleetpb.Command{After: &after, Kind: &fleetpb.Command_PutHost{PutHost: &fleetpb.Host{Name: name, DataCentre: "dc"}}})
	return err
}

// Guards against the removal of a host that has returned, by an order that its operator had
// given up at another host before, and against a host that is listed again by a registration
// from before its removal.
func TestLateHostCommands(t *testing.T) {
	log := &oneVoterLog{machine: NewMachine(), replica: NewReplica()}
	e := echo.New()
	(&Admin{Log: log, Replica: log.replica}).Register(e.Group("/admin/v1"))
	remove := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, path, nil))
		return w
	}
	mustBe := func(what string, got, want int) {
		t.Helper()
		if got != want {
			t.Errorf("%s: status %d, want %d", what, got, want)
		}
	}
	if err := log.put(t, "h", 0); err != nil {
		t.Fatal(err)
	}
	late := remove("/admin/v1/hosts/h?operator=o")
	mustBe("order", late.Code, http.StatusTemporaryRedirect)
	confirmed := late.Header().Get("Location")
	mustBe("the same order at another host", remove(confirmed).Code, http.StatusOK)
	if err := log.put(t, "h", 1); !errors.Is(err, control.ErrRefused) {
		t.Errorf("a registration from before the removal: %v", err)
	}
	if err := log.put(t, "h", 2); err != nil {
		t.Fatal(err)
	}
	outdated := remove(confirmed)
	mustBe("confirmed order from before the return", outdated.Code, http.StatusTemporaryRedirect)
	if hosts := log.machine.State().Hosts; len(hosts) != 1 {
		t.Errorf("hosts %v", hosts)
	}
	mustBe("order that its operator confirms again", remove(outdated.Header().Get("Location")).Code, http.StatusOK)
	mustBe("odd position", remove("/admin/v1/hosts/h?after=x").Code, http.StatusBadRequest)
	mustBe("repeated order", remove(remove("/admin/v1/hosts/h").Header().Get("Location")).Code, http.StatusOK)
	if hosts := log.machine.State().Hosts; len(hosts) != 0 {
		t.Errorf("hosts %v", hosts)
	}

	data, err := log.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewMachine()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	after := uint64(1)
	stale, err := proto.Marshal(&fleetpb.Command{After: &after, Kind: &fleetpb.Command_PutHost{PutHost: &fleetpb.Host{Name: "h", DataCentre: "dc"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Admit(nil, stale); !errors.Is(err, ErrOutdated) {
		t.Errorf("after a snapshot: %v", err)
	}
	if err := NewMachine().Admit([][]byte{stale}, stale); !errors.Is(err, ErrOutdated) {
		t.Errorf("behind a command that is not applied: %v", err)
	}
}
