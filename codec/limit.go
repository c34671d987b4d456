package codec

// Size limits. All nodes refuse what exceeds them, so a change of a limit needs a new schema level.
const (
	// MaxEntry is the size of an entry as the log stores it, in bytes.
	MaxEntry = 48 << 10
	// MaxChange is the size of a change set before compression, in bytes.
	MaxChange = 256 << 10
	// MaxRecord is the size of one encoded record, in bytes.
	MaxRecord = 8 << 10
	// MaxCheckpoint is the size of a whole state before compression, in bytes.
	MaxCheckpoint = 16 << 20
	// MaxChunks is the number of entries over which one checkpoint is spread.
	MaxChunks = 512
	// chunkSize leaves room in an entry for the header of a chunk, in bytes.
	chunkSize = MaxEntry - 1<<10
)
