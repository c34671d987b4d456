package codec

// Size limits. Nodes must agree on which entries they refuse, so changing a limit requires a new schema level.
const (
	// MaxEntry limits the data of a log entry, in bytes.
	MaxEntry = 48 << 10
	// MaxChange limits a change set before compression, in bytes.
	MaxChange = 256 << 10
	// MaxRecord limits the name and the encoded body of one record together, in bytes.
	MaxRecord = 8 << 10
	// MaxCheckpoint limits an encoded state before compression, in bytes.
	MaxCheckpoint = 16 << 20
	// MaxChunks limits the log entries that one checkpoint is split into.
	MaxChunks = 512
	// maxChunkData limits the checkpoint data in one chunk, in bytes. It reserves 1 KiB of the entry for the other
	// fields of the chunk.
	maxChunkData = MaxEntry - 1<<10
)
