package requestbody_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/intake"
	"geraniumturn.example/geraniumturn/internal/requestbody"
)

// Guards against a body that is cut, kept beyond its limit or beyond the memory of all, with a
// stated length or in chunks.
func TestRead(t *testing.T) {
	const maxBytes, memory = 1 << 20, 256 << 10
	for _, c := range []struct {
		size int
		want error
	}{{0, nil}, {1, nil}, {bytebudget.Free, nil}, {100_000, nil}, {memory, nil}, {memory + bytebudget.Free + 1, requestbody.ErrNoMemory}, {maxBytes + 1, requestbody.ErrTooLarge}} {
		for _, stated := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, length stated %v", c.size, stated), func(t *testing.T) {
				budget := &bytebudget.Budget{Limit: memory}
				body := bytes.Repeat([]byte("b"), c.size)
				r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
				if !stated {
					r.ContentLength = -1
				}
				part := budget.Buffer()
				got, err := requestbody.Read(httptest.NewRecorder(), r, maxBytes, time.Now().Add(time.Minute), &part)
				if !stated && c.want != nil {
					// The memory ends before the limit of the size is known to be exceeded.
					c.want = requestbody.ErrNoMemory
				}
				if !errors.Is(err, c.want) || err == nil && !bytes.Equal(got, body) {
					t.Errorf("%d bytes, %v", len(got), err)
				}
				if used := budget.Used(); used > memory {
					t.Errorf("%d bytes used of %d", used, memory)
				}
				part.Release()
				if used := budget.Used(); used != 0 {
					t.Errorf("%d bytes are still held", used)
				}
			})
		}
	}
}

// Load: many callers send large bodies slowly and at once. Guards against bodies that
// together exceed their memory, against a refusal that comes only when its body has arrived,
// and against memory that is never given back.
func TestSlowBodiesShareMemory(t *testing.T) {
	const size, fitting, callers = 1 << 20, 4, 12
	budget := &bytebudget.Budget{Limit: fitting * size}
	var most atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := budget.Buffer()
		defer part.Release()
		body, err := requestbody.Read(w, r, size, time.Now().Add(time.Minute), &part)
		for used := budget.Used(); ; used = budget.Used() {
			if old := most.Load(); used <= old || most.CompareAndSwap(old, used) {
				break
			}
		}
		switch {
		case errors.Is(err, requestbody.ErrNoMemory):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil || len(body) != size:
			t.Errorf("%d bytes, %v", len(body), err)
		}
	}))
	defer server.Close()
	var served, refused atomic.Int64
	all := make(chan struct{})
	var work sync.WaitGroup
	for range callers {
		work.Go(func() {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\nb", size)
			_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			head := make([]byte, 12)
			if _, err := io.ReadFull(conn, head); err == nil {
				if !strings.HasSuffix(string(head), "503") {
					t.Errorf("response %s before the body", head)
				}
				refused.Add(1)
				return
			}
			<-all
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := conn.Write(bytes.Repeat([]byte("b"), size-1)); err != nil {
				t.Error(err)
			}
			if _, err := io.ReadFull(conn, head); err != nil || !strings.HasSuffix(string(head), "200") {
				t.Errorf("response %s, %v", head, err)
			}
			served.Add(1)
		})
	}
	time.AfterFunc(time.Second, func() { close(all) })
	work.Wait()
	if served.Load() != fitting || refused.Load() != callers-fitting || most.Load() > fitting*size {
		t.Errorf("%d served, %d refused at once, %d bytes at most", served.Load(), refused.Load(), most.Load())
	}
	for end := time.Now().Add(5 * time.Second); budget.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still held", budget.Used())
		}
	}
}

// Guards against a body that is waited for beyond the time of its request.
func TestBodyMissesDeadline(t *testing.T) {
	result := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := (&bytebudget.Budget{}).Buffer()
		_, err := requestbody.Read(w, r, 1<<20, time.Now().Add(200*time.Millisecond), &part)
		result <- err
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nb")
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	head := make([]byte, 12)
	if _, err := io.ReadFull(conn, head); err != nil || !strings.HasSuffix(string(head), "503") {
		t.Errorf("response %s, %v", head, err)
	}
	if err := <-result; !errors.Is(err, requestbody.ErrDeadline) {
		t.Errorf("error %v", err)
	}
}

// Load: bodies that stop after their first bytes and give way one after another. Guards against
// a budget that keeps the parts of those that were closed.
func TestClosedBodiesGiveBackTheirMemory(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := intake.LimitsFor(40<<20, 1000, 0, intake.EntryShares)
	g := intake.NewGate(l, log, metrics.NewRegistry())
	b := &bytebudget.Budget{Limit: l.Account}
	s := httptest.NewUnstartedServer(intake.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := b.BufferOf(intake.FromContext(r.Context()))
		defer func() { part.Release() }()
		if _, err := requestbody.Read(w, r, 8<<20, time.Now().Add(10*time.Second), &part); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})))
	s.Listener = g.Listen(s.Listener, intake.Callers)
	s.Config.ConnContext, s.Config.ConnState = intake.WithConn, intake.SetState
	s.Start()
	defer s.Close()
	for range 4 {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 6<<20, strings.Repeat("x", 1000))
		time.Sleep(450 * time.Millisecond)
	}
	if g.Account.Usage().Closed[intake.Callers] == 0 {
		t.Fatal("nothing has given way")
	}
	s.CloseClientConnections()
	for end := time.Now().Add(5 * time.Second); b.Used() > 0 || g.Account.Usage().Bytes > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("left: account %d, budget %d", g.Account.Usage().Bytes, b.Used())
		}
	}
}
