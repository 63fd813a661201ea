package routing

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalid is returned for a malformed summary request or response.
var ErrInvalid = errors.New("routing: invalid summary")

const (
	keyBytes = 3
	rowBytes = keyBytes + 4
	// maxRows bounds the rows of a summary. A deployment of the design size has 27
	// models and a few services.
	maxRows = 128
	// stepsPerDoubling is the number of quantisation steps per factor of 2; each of
	// the 8 steps is about 9 %.
	stepsPerDoubling = 8
)

// serviceKey identifies a pool and model in summaries by 24 bits of a digest. With 27
// models, the probability of a collision is 2 in 100,000.
type serviceKey uint32

func serviceKeyOf(pool, model string) serviceKey {
	return serviceKey(xxhash.Sum64String(pool+"\x00"+model) >> 40)
}

// Row is the capacity of a data centre for one pool and model.
type Row struct {
	// Room is how many more requests the data centre accepts from the requesting
	// host.
	Room int
	// Wait is the expected time until a slot is free, Service the time of a complete
	// response, and Prefill the time per uncached prompt token.
	Wait, Service, Prefill time.Duration
}

func appendKey(out []byte, k serviceKey) []byte { return append(out, byte(k>>16), byte(k>>8), byte(k)) }

// appendRow encodes a row. Room is rounded down, the times to the nearest step.
func appendRow(out []byte, k serviceKey, r Row) []byte {
	out = appendKey(out, k)
	return append(out, quantiseDown(r.Room), quantise(r.Wait.Milliseconds()),
		quantise(r.Service.Milliseconds()), quantise(r.Prefill.Microseconds()))
}

func quantise(v int64) byte {
	return byte(min(math.Round(stepsPerDoubling*math.Log2(1+float64(max(v, 0)))), math.MaxUint8))
}

func quantiseDown(v int) byte {
	b := quantise(int64(v))
	if dequantise(b) > int64(v) {
		b--
	}
	return b
}

// dequantise is the inverse of quantise, rounded to the nearest integer.
func dequantise(b byte) int64 {
	return int64(math.Round(math.Exp2(float64(b)/stepsPerDoubling) - 1))
}

func parseRows(data []byte) (map[serviceKey]Row, error) {
	if len(data)%rowBytes != 0 || len(data) > maxRows*rowBytes {
		return nil, fmt.Errorf("%w: invalid length of rows: %d bytes", ErrInvalid, len(data))
	}
	out := make(map[serviceKey]Row, len(data)/rowBytes)
	for ; len(data) > 0; data = data[rowBytes:] {
		out[keyAt(data)] = Row{
			Room: int(min(dequantise(data[3]), math.MaxInt32)), Wait: time.Duration(dequantise(data[4])) * time.Millisecond,
			Service: time.Duration(dequantise(data[5])) * time.Millisecond, Prefill: time.Duration(dequantise(data[6])) * time.Microsecond,
		}
	}
	return out, nil
}

func parseKeys(data []byte) ([]serviceKey, error) {
	if len(data)%keyBytes != 0 || len(data) > maxRows*keyBytes {
		return nil, fmt.Errorf("%w: invalid length of keys: %d bytes", ErrInvalid, len(data))
	}
	var out []serviceKey
	for ; len(data) > 0; data = data[keyBytes:] {
		out = append(out, keyAt(data))
	}
	return out, nil
}

func keyAt(data []byte) serviceKey {
	return serviceKey(binary.BigEndian.Uint32([]byte{0, data[0], data[1], data[2]}))
}
