package codec

import (
	"sync"

	"github.com/klauspost/compress/zstd"
)

// encoderWindow limits the memory that the encoder retains, in bytes.
const encoderWindow = 256 << 10

var encoder = sync.OnceValue(func() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(encoderWindow),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	return e
})

var (
	changeDecoder     = sync.OnceValue(func() *zstd.Decoder { return newDecoder(MaxChange) })
	checkpointDecoder = sync.OnceValue(func() *zstd.Decoder { return newDecoder(MaxCheckpoint) })
)

func newDecoder(limit uint64) *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(limit))
	if err != nil {
		panic(err) // the options are constant
	}
	return d
}

func compress(data []byte) []byte { return encoder().EncodeAll(data, nil) }

// Compress compresses data with zstd.
func Compress(data []byte) []byte { return compress(data) }

// Decompress decompresses the result of Compress. It fails if data is malformed or exceeds MaxCheckpoint when
// decompressed.
func Decompress(data []byte) ([]byte, error) { return checkpointDecoder().DecodeAll(data, nil) }
