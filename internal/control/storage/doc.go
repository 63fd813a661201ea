// Package storage keeps the state of one voter in a folder: its random id, a
// write-ahead log of checksummed frames, and the latest snapshot. Whatever a
// call has written is synced, file and directory entry, when the call returns.
//
// An incomplete frame at the end of the log was never acknowledged and is
// removed. Damage before the end, or a file that is missing although the id
// exists, is an error that names the file and the offset.
package storage
