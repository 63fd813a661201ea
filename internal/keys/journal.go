package keys

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"geraniumturn.example/geraniumturn/internal/durable"
)

// ErrDamaged means that a record of the withdrawals file is invalid, or that an
// earlier write to the file failed.
var ErrDamaged = errors.New("keys: withdrawals file is damaged")

const recordHeaderBytes = 8 // length (4), CRC-32C (4)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// JournalFile is a Journal that appends to a single file.
type JournalFile struct {
	file *os.File
	// endOffset is the offset after the last complete record.
	endOffset int64
	// failed is set after a failed write or sync; no more records are accepted.
	failed bool
}

// OpenJournal reads the stored withdrawals and opens the file for appending. An
// incomplete record at the end was never acknowledged and is truncated. If a
// record is invalid, OpenJournal renames the damaged file to path+".damaged",
// writes the records before the invalid one to a new file, and returns the new
// file and these records together with ErrDamaged.
func OpenJournal(path string) (*JournalFile, []Withdrawal, error) {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	items, endOffset, damageErr := readRecords(data)
	if damageErr != nil {
		damageErr = fmt.Errorf("%w: %s, offset %d: %v", ErrDamaged, path, endOffset, damageErr)
		if err := os.Rename(path, path+".damaged"); err != nil {
			return nil, nil, fmt.Errorf("keys: %w", err)
		}
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	journal := &JournalFile{file: f, endOffset: int64(endOffset)}
	if err := journal.truncateToValid(data[:endOffset], damageErr != nil); err != nil {
		_ = f.Close()
		return nil, nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return journal, items, damageErr
}

// truncateToValid makes the file end after its last complete record. If rewrite is
// true, the file replaces a damaged one, and the valid records are written to it first.
func (j *JournalFile) truncateToValid(validRecords []byte, rewrite bool) error {
	if rewrite {
		if _, err := j.file.WriteAt(validRecords, 0); err != nil {
			return err
		}
	}
	if err := j.file.Truncate(j.endOffset); err != nil {
		return err
	}
	if err := durable.Sync(j.file); err != nil {
		return err
	}
	return durable.SyncDir(filepath.Dir(j.file.Name()))
}

// Append implements Journal.
func (j *JournalFile) Append(w Withdrawal) error {
	if j.failed {
		return fmt.Errorf("%w: an earlier write failed", ErrDamaged)
	}
	record := encodeRecord(w)
	_, err := j.file.WriteAt(record, j.endOffset)
	if err == nil {
		err = durable.Sync(j.file)
	}
	if err != nil {
		// After a failed write or sync, the content on disk is unknown.
		j.failed = true
		return fmt.Errorf("keys: store withdrawal: %w", err)
	}
	j.endOffset += int64(len(record))
	return nil
}

// Close closes the file.
func (j *JournalFile) Close() error { return j.file.Close() }

func encodeRecord(w Withdrawal) []byte {
	payload := append([]byte{byte(len(w.KeyID))}, w.KeyID...)
	payload = append(payload, w.Operator...)
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// readRecords returns the valid records and the offset after the last of them.
// An error means that the record at that offset is invalid; an incomplete last
// record is no error.
func readRecords(data []byte) (items []Withdrawal, endOffset int, err error) {
	for len(data)-endOffset >= recordHeaderBytes {
		length := int(binary.BigEndian.Uint32(data[endOffset:]))
		sum := binary.BigEndian.Uint32(data[endOffset+4:])
		if length < 1 || length > 1+maxIDBytes+maxOperatorBytes {
			return items, endOffset, fmt.Errorf("record has length %d", length)
		}
		if len(data)-endOffset-recordHeaderBytes < length {
			return items, endOffset, nil
		}
		payload := data[endOffset+recordHeaderBytes : endOffset+recordHeaderBytes+length]
		if crc32.Checksum(payload, castagnoli) != sum {
			return items, endOffset, errors.New("checksum does not match")
		}
		n := int(payload[0])
		if n > length-1 || !ValidID(string(payload[1:1+n])) {
			return items, endOffset, errors.New("record has no valid key id")
		}
		items = append(items, Withdrawal{KeyID: string(payload[1 : 1+n]), Operator: string(payload[1+n:])})
		endOffset += recordHeaderBytes + length
	}
	return items, endOffset, nil
}
