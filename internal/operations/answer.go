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

// MaxAnswerBytes is the maximum size of the body of a stored answer.
const MaxAnswerBytes = 256 << 10

const (
	answerMagic = "GTANSW01"
	attemptLen  = 32
	// frameBytes is the size of magic, length and checksum around the payload.
	frameBytes = len(answerMagic) + 4 + 4
	// maxHeaderBytes is the maximum size of all fields of a stored answer but its body.
	maxHeaderBytes = 64 << 10
)

var (
	// ErrCorrupt means that a stored answer does not match its checksum or is malformed.
	ErrCorrupt = errors.New("operations: stored answer is corrupt")
	// ErrResidency means that an answer may not be stored in the data centre.
	ErrResidency = errors.New("operations: residency forbids the data centre")
	errTooLarge  = errors.New("operations: answer is too large to be stored")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeAnswer returns the content of an answer file: magic, payload length,
// payload, and CRC-32C of all of these.
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

// decodeAnswer parses and validates the content of an answer file.
func decodeAnswer(data []byte) (*pb.Answer, error) {
	if len(data) < frameBytes || string(data[:len(answerMagic)]) != answerMagic {
		return nil, fmt.Errorf("%w: missing magic", ErrCorrupt)
	}
	content, sum := data[:len(data)-4], binary.BigEndian.Uint32(data[len(data)-4:])
	if crc32.Checksum(content, castagnoli) != sum {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrCorrupt)
	}
	payload := content[len(answerMagic)+4:]
	if int(binary.BigEndian.Uint32(content[len(answerMagic):])) != len(payload) {
		return nil, fmt.Errorf("%w: length mismatch", ErrCorrupt)
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
		return fmt.Errorf("%w: invalid attempt, workspace or status", ErrCorrupt)
	}
	if len(a.GetBody()) > MaxAnswerBytes || proto.Size(a) > MaxAnswerBytes+maxHeaderBytes {
		return fmt.Errorf("%w: %v", ErrCorrupt, errTooLarge)
	}
	return nil
}

// validAttempt reports whether an attempt ID has the form that newAttempt gives it.
// The ID is part of a file name.
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
