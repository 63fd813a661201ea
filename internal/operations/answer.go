package operations

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/proto"

	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
)

// MaxAnswerBytes bounds the body of a stored answer.
const MaxAnswerBytes = 256 << 10

const (
	answerMagic = "GTANSW01"
	attemptLen  = 32
	// frameBytes are magic, length and checksum around the payload.
	frameBytes = len(answerMagic) + 4 + 4
	// maxHeaderBytes bounds status line, headers and names of a stored answer.
	maxHeaderBytes = 64 << 10
)

var (
	// ErrCorrupt means that a stored answer does not match its checksum or form.
	ErrCorrupt = errors.New("operations: stored answer is corrupt")
	// ErrResidency means that an answer may not rest in the data centre.
	ErrResidency = errors.New("operations: residency forbids the data centre")
	errTooLarge  = errors.New("operations: answer is too large to be stored")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeAnswer returns the content of an answer file: magic, payload length,
// payload, CRC-32C over all before it.
func encodeAnswer(a *pb.Answer) ([]byte, error) {
	payload, err := proto.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("operations: marshal answer: %w", err)
	}
	out := make([]byte, 0, len(payload)+frameBytes)
	out = append(out, answerMagic...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = append(out, payload...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli)), nil
}

// decodeAnswer reads the content of an answer file and checks all of it.
func decodeAnswer(data []byte) (*pb.Answer, error) {
	if len(data) < frameBytes || string(data[:len(answerMagic)]) != answerMagic {
		return nil, fmt.Errorf("%w: no magic", ErrCorrupt)
	}
	body, sum := data[:len(data)-4], binary.BigEndian.Uint32(data[len(data)-4:])
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, fmt.Errorf("%w: checksum", ErrCorrupt)
	}
	payload := body[len(answerMagic)+4:]
	if int(binary.BigEndian.Uint32(body[len(answerMagic):])) != len(payload) {
		return nil, fmt.Errorf("%w: length", ErrCorrupt)
	}
	var a pb.Answer
	if err := proto.Unmarshal(payload, &a); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	if err := validateAnswer(&a); err != nil {
		return nil, err
	}
	return &a, nil
}

func validateAnswer(a *pb.Answer) error {
	if !validAttempt(a.GetAttempt()) || a.GetWorkspace() == "" || a.GetStatus() < 100 || a.GetStatus() > 999 {
		return fmt.Errorf("%w: attempt, workspace or status", ErrCorrupt)
	}
	if len(a.GetBody()) > MaxAnswerBytes || proto.Size(a) > MaxAnswerBytes+maxHeaderBytes {
		return fmt.Errorf("%w: %v", ErrCorrupt, errTooLarge)
	}
	return nil
}

// validAttempt checks an attempt id, which also names a file.
func validAttempt(id string) bool {
	if len(id) != attemptLen {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func expired(a *pb.Answer, now time.Time) bool { return a.GetExpiresMs() <= now.UnixMilli() }
