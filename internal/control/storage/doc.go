// Package storage stores the state of one voter in a directory: its id, a write-ahead
// log of checksummed frames, and the latest snapshot. All writes of a call, file and
// directory entry, are synced when the call returns.
//
// An incomplete frame at the end of the log was never acknowledged and is truncated.
// Corruption before the end is an error that names the file and the offset. A missing
// id or log beside the other files of the voter is an error that names the file.
package storage
