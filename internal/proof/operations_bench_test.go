package proof

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
)

// BenchmarkOperation reports the latency of a request with and without a replicated
// operation record. The target is in the data centre of the host that receives the
// request, and the one-way delay between data centres is 55 ms:
//
//	go test ./internal/proof -run xxx -bench Operation -benchtime 40x
func BenchmarkOperation(b *testing.B) {
	f := proctest.Start(b, proctest.ExampleHosts())
	text, err := readRules()
	if err != nil {
		b.Fatal(err)
	}
	f.Apply(text)
	startHandlerTarget(b, f, serviceTarget("r1", "santander-a"), func(w http.ResponseWriter, _ *http.Request, _ string) {
		fmt.Fprint(w, "filed")
	}, "santander-1")
	key := f.Grant("hoteles-gijon")
	f.DelayBetweenDataCentres(55 * time.Millisecond)
	run := 0
	for _, record := range []bool{false, true} {
		b.Run(fmt.Sprintf("record=%v", record), func(b *testing.B) {
			run++
			var all []time.Duration
			for i := 0; b.Loop(); i++ {
				header := bearerHeader(key)
				if record {
					header = operationHeader(key, fmt.Sprintf("filing-%d-%d", run, i))
				}
				got := send(b, f, "santander-1", "POST", "/registro/llegadas", operationBody, header)
				if got.status != http.StatusOK {
					b.Fatalf("%d %s %v", got.status, got.body, got.err)
				}
				all = append(all, got.latency)
			}
			slices.Sort(all)
			b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(all[len(all)*95/100].Microseconds())/1000, "p95-ms")
		})
	}
}
