package keys

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
)

// ErrDamaged means that a record of the withdrawals file fails its check, or
// that an earlier write to it failed.
var ErrDamaged = errors.New("keys: withdrawals file is damaged")

const recordHeader = 8 // length (4), CRC-32C (4)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// JournalFile is a Journal in one file.
type JournalFile struct {
	file *os.File
	// end is the offset after the last whole record.
	end int64
	// failed is set when an incomplete record could not be cut off.
	failed bool
}

// OpenJournal reads the stored withdrawals and opens the file for new ones. An
// incomplete record at the end was never acknowledged and is cut off. A record
// that fails its check gives ErrDamaged together with the records before it and
// a usable file: the damaged file is set aside, and the new one holds what
// could be read.
func OpenJournal(path string) (*JournalFile, []Withdrawal, error) {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	items, end, damage := readRecords(data)
	if damage != nil {
		damage = fmt.Errorf("%w: %s, offset %d: %v", ErrDamaged, path, end, damage)
		if err := os.Rename(path, path+".damaged"); err != nil {
			return nil, nil, fmt.Errorf("keys: %w", err)
		}
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	journal := &JournalFile{file: f, end: int64(end)}
	if err := journal.prepare(data[:end], damage != nil); err != nil {
		_ = f.Close()
		return nil, nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return journal, items, damage
}

// prepare makes the file end with its last whole record.
func (j *JournalFile) prepare(valid []byte, rewrite bool) error {
	if rewrite {
		if _, err := j.file.WriteAt(valid, 0); err != nil {
			return err
		}
	}
	if err := j.file.Truncate(j.end); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	d, err := os.Open(filepath.Dir(j.file.Name()))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Append implements Journal.
func (j *JournalFile) Append(w Withdrawal) error {
	if j.failed {
		return fmt.Errorf("%w: an earlier write failed", ErrDamaged)
	}
	record := encodeRecord(w)
	_, err := j.file.WriteAt(record, j.end)
	if err == nil {
		err = j.file.Sync()
	}
	if err != nil {
		// After a failed sync the content of the file is not known any more.
		j.failed = true
		return fmt.Errorf("keys: store withdrawal: %w", err)
	}
	j.end += int64(len(record))
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

// readRecords returns the whole records and the offset after them. The error
// tells that the record at that offset is there but wrong.
func readRecords(data []byte) (items []Withdrawal, end int, err error) {
	for len(data)-end >= recordHeader {
		length := int(binary.BigEndian.Uint32(data[end:]))
		sum := binary.BigEndian.Uint32(data[end+4:])
		if length < 1 || length > 1+maxIDBytes+maxOperatorBytes {
			return items, end, fmt.Errorf("record has length %d", length)
		}
		if len(data)-end-recordHeader < length {
			return items, end, nil
		}
		payload := data[end+recordHeader : end+recordHeader+length]
		if crc32.Checksum(payload, castagnoli) != sum {
			return items, end, errors.New("checksum does not match")
		}
		n := int(payload[0])
		if n > length-1 || !ValidID(string(payload[1:1+n])) {
			return items, end, errors.New("record has no valid key id")
		}
		items = append(items, Withdrawal{KeyID: string(payload[1 : 1+n]), Operator: string(payload[1+n:])})
		end += recordHeader + length
	}
	return items, end, nil
}
