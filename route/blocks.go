package route

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Prompts are compared in blocks of BlockTokens tokens. Only the first MaxBlocks
// blocks of a request are compared.
const (
	BlockTokens = 64
	MaxBlocks   = 64
	blockBytes  = BlockTokens * bytesPerToken
)

// BlockHashes appends the chained hashes of a prompt's whole blocks to dst. Each
// hash covers all text up to the end of its block. The team name is the salt: a team
// that sends another team's text gets no match, so it can't learn from its waiting
// times whether that text is cached.
func BlockHashes(team string, prompt []byte, dst []uint64) []uint64 {
	chain := xxhash.Sum64String(team)
	var seed [8]byte
	var d xxhash.Digest
	for len(prompt) >= blockBytes && len(dst) < MaxBlocks {
		binary.LittleEndian.PutUint64(seed[:], chain)
		d.Reset()
		_, _ = d.Write(seed[:]) // a Digest never fails
		_, _ = d.Write(prompt[:blockBytes])
		chain = d.Sum64()
		dst = append(dst, chain)
		prompt = prompt[blockBytes:]
	}
	return dst
}
