package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A log file consists of a header (magic and 8 random bytes, the salt) and frames.
// Each frame is one synced write, so only the last frame can be incomplete after a
// crash. The salt is part of each checksum, so that neither the payload of a frame
// nor remains of an older file can be read as a frame.
//
//	frame = length uint32 | payload checksum uint32 | header checksum uint32 | payload
const (
	magic            = "GTLOG001"
	saltBytes        = 8
	fileHeaderBytes  = len(magic) + saltBytes
	frameHeaderBytes = 12
	// maxFrameBytes limits the payload of a frame; a larger length means corruption.
	maxFrameBytes = 256 << 20
)

// ErrDamaged means that a file of the voter is corrupt or missing.
var ErrDamaged = errors.New("control: damaged file")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(salt, data []byte) uint32 {
	return crc32.Update(crc32.Checksum(salt, castagnoli), castagnoli, data)
}

// appendFrame adds a frame with the payload to b.
func appendFrame(b, salt, payload []byte) []byte {
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], checksum(salt, payload))
	binary.LittleEndian.PutUint32(header[8:], checksum(salt, header[:8]))
	return append(append(b, header[:]...), payload...)
}

// decodeFrame returns the payload of the frame at the start of data.
func decodeFrame(salt, data []byte) (payload []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes || checksum(salt, data[:8]) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length > maxFrameBytes || uint64(len(data)) < frameHeaderBytes+uint64(length) {
		return nil, 0, false
	}
	size = frameHeaderBytes + int(length)
	payload = data[frameHeaderBytes:size]
	if checksum(salt, payload) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return payload, size, true
}

// decodeLog returns the payloads of a log file and the offset after the last
// complete frame. A frame that cannot be decoded counts as the incomplete end of the
// file unless a valid frame follows it.
func decodeLog(data []byte) (payloads [][]byte, end int, err error) {
	if len(data) < fileHeaderBytes || !bytes.HasPrefix(data, []byte(magic)) {
		return nil, 0, fmt.Errorf("%w: log header is missing at offset 0", ErrDamaged)
	}
	salt := data[len(magic):fileHeaderBytes]
	for end = fileHeaderBytes; end < len(data); {
		payload, size, ok := decodeFrame(salt, data[end:])
		if !ok {
			if next, found := findFrame(salt, data, end+1); found {
				return nil, 0, fmt.Errorf("%w: unreadable record at offset %d, before a readable one at %d", ErrDamaged, end, next)
			}
			return payloads, end, nil
		}
		payloads = append(payloads, payload)
		end += size
	}
	return payloads, end, nil
}

func findFrame(salt, data []byte, from int) (int, bool) {
	for at := from; at+frameHeaderBytes <= len(data); at++ {
		if _, _, ok := decodeFrame(salt, data[at:]); ok {
			return at, true
		}
	}
	return 0, false
}
