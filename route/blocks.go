package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Prompts are compared by blocks of BlockTokens tokens; a request looks at its
// first MaxBlocks blocks.
const (
	BlockTokens = 64
	MaxBlocks   = 64
	blockBytes  = BlockTokens * bytesPerToken
)

// BlockHashes appends the chained hashes of a prompt's whole blocks to into. Each
// hash covers all text up to its block. The team is the salt: a team that sends
// another's text finds nothing, so its waits tell nothing about that text.
func BlockHashes(team string, prompt []byte, into []uint64) []uint64 {
	chain := xxhash.Sum64String(team)
	var seed [8]byte
	var d xxhash.Digest
	for len(prompt) >= blockBytes && len(into) < MaxBlocks {
		binary.LittleEndian.PutUint64(seed[:], chain)
		d.Reset()
		_, _ = d.Write(seed[:]) // a Digest never fails
		_, _ = d.Write(prompt[:blockBytes])
		chain = d.Sum64()
		into = append(into, chain)
		prompt = prompt[blockBytes:]
	}
	return into
}
