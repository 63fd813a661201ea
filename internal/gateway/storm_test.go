package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/gateway"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// changing decodes a version number into a configuration that differs from that of other
// versions in its routes, timeouts, workspaces and rates.
type changing struct{ protocol }

func (c changing) Decode(content []byte) (*document.Document, error) {
	version, err := strconv.Atoi(string(content))
	if err != nil {
		return nil, err
	}
	d := c.testDocument()
	d.Version = uint64(version)
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Duration(7+version%4) * time.Second
		d.Routes[i].FirstByteObjective = 4 * time.Second
	}
	d.Workspaces[0].Rate, d.Workspaces[0].Burst, d.Workspaces[0].PerRequest = float64(100+version%100), 500, true
	if version%7 == 3 {
		d.Workspaces = d.Workspaces[1:]
	}
	if version%5 == 2 {
		d.Routes = d.Routes[1:]
	}
	return d, nil
}

// troubled is a sound target that falls silent at times, reads late or answers early.
func troubled(w http.ResponseWriter, r *http.Request) {
	pause := func() { time.Sleep(1300*time.Millisecond + rand.N(500*time.Millisecond)) }
	flush := func() { _ = http.NewResponseController(w).Flush() }
	how := rand.IntN(8)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "sig")
	if how == 0 {
		pause()
	}
	if how == 1 { // answers before it has read the body
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, twoEvents)
		flush()
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if how == 2 {
		pause()
	}
	half := strings.Index(twoEvents, "id: 2")
	if how == 3 {
		half += len("id: 2\nda")
	}
	_, _ = io.WriteString(w, twoEvents[:half])
	flush()
	if how == 3 || how == 4 {
		pause()
	}
	_, _ = io.WriteString(w, twoEvents[half:])
}

// keptConn is a caller with one connection.
type keptConn struct {
	net.Conn
	reader  *bufio.Reader
	closing bool // the response announced that the connection closes
}

// exchange sends a request and returns the status, and an error if the connection ended
// without a whole response.
func (k *keptConn) exchange(path, id, body string) (status int, err error) {
	if _, err := fmt.Fprintf(k, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	got, err := io.ReadAll(res.Body)
	k.closing = res.Close
	if err == nil && res.StatusCode == http.StatusOK && string(got) != twoEvents {
		err = fmt.Errorf("body %q", got)
	}
	return res.StatusCode, err
}

// Guards against a whole request that ends with its connection closed, with neither a
// complete response nor a refusal, beside changes of the configuration and sound targets
// that fall silent, read late or answer early.
func TestWholeRequestsAreAnsweredBesideChanges(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.Views = gateway.NewViewStore(changing{})
			var addresses []string
			for range 4 {
				s := httptest.NewServer(http.HandlerFunc(troubled))
				t.Cleanup(s.Close)
				addresses = append(addresses, s.Listener.Addr().String())
			}
			fixtures := []*fixture{f}
			forward := httptest.NewServer(f.ForwardHandler())
			t.Cleanup(forward.Close)
			forwardAddress := forward.Listener.Addr().String()
			change := func(version int) {
				now := clock.SinceBoot()
				for _, f := range fixtures {
					u := fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true,
						Index: uint64(version), Version: uint64(version), Content: []byte(strconv.Itoa(version)),
						Grants: []*syncpb.Grant{{Workspace: "w", Fraction: 1}}}}
					for i, address := range addresses {
						state := registry.Ready
						if i > 0 && (version+i)%3 == 0 {
							state = registry.Draining
						}
						dc := "dc"
						if len(fixtures) > 1 && f == fixtures[1] {
							dc = "far"
						}
						u.Records = append(u.Records, registry.Record{ID: fmt.Sprint("t", i), Sequence: uint64(version), Service: "s", DataCentre: dc, State: state, Address: address})
					}
					if len(fixtures) > 1 && f == fixtures[1] {
						u.Hosts = []*syncpb.EntryHost{{Name: "there", Region: "elsewhere", Forward: forwardAddress, Serving: true, Loads: []*syncpb.Load{{Service: "s", WaitMs: 10}}}}
					}
					f.Apply(now, u)
				}
			}
			change(1)
			if forwarded {
				local := newFixture(t)
				local.RegionByDataCentre["far"] = "elsewhere"
				local.Views = gateway.NewViewStore(changing{})
				fixtures = append(fixtures, local)
				change(2)
			}
			entry := fixtures[len(fixtures)-1].front.Listener.Addr().String()
			stop := make(chan struct{})
			var changes, callers sync.WaitGroup
			changes.Go(func() {
				for version := 3; ; version++ {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
						change(version)
					}
				}
			})
			var served, refused atomic.Int64
			for caller := range 24 {
				callers.Go(func() {
					var k *keptConn
					body := strings.Repeat("x", []int{10, 400_000}[caller%2])
					for n, until := 0, time.Now().Add(5*time.Second); time.Now().Before(until); n++ {
						if k == nil || k.closing {
							conn, err := net.Dial("tcp", entry)
							if err != nil {
								t.Error(err)
								return
							}
							t.Cleanup(func() { _ = conn.Close() })
							k = &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
						}
						path := []string{"/safe/", "/once/", "/stream/", "/resume/", "/open/"}[rand.IntN(5)]
						status, err := k.exchange(path, fmt.Sprintf("c%d-%d", caller, n), body)
						if err != nil {
							t.Errorf("%s of caller %d: status %d, error %v", path, caller, status, err)
							return
						}
						if status == http.StatusOK {
							served.Add(1)
						} else {
							refused.Add(1)
						}
					}
				})
			}
			callers.Wait()
			close(stop)
			changes.Wait()
			t.Logf("%d served, %d refused", served.Load(), refused.Load())
			if served.Load() < refused.Load()/4 {
				t.Errorf("%d served, %d refused", served.Load(), refused.Load())
			}
		})
	}
}
