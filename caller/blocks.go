package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// bytesPerToken is the initial estimate of a prompt's length; the
	// scheduler corrects it by reported usage.
	bytesPerToken = 4
	// blockTokens is the size of an engine's cache block.
	blockTokens = 2000
	blockBytes  = blockTokens * bytesPerToken
)

// promptTokens estimates a prompt's length, rounded up.
func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// promptBlocks returns the chained hashes of the prompt's full blocks: each
// hash covers its block and, through the hash before it, the whole text up to
// it. The chain starts from the member and the model, so that a member cannot
// learn from the time to its first token what another member has sent.
func promptBlocks(member fleet.MemberID, model fleet.ModelName, prompt string) []uint64 {
	full := len(prompt) / blockBytes
	if full == 0 {
		return nil
	}
	blocks := make([]uint64, full)
	previous := xxhash.Sum64String(string(member) + "\x00" + string(model))
	digest := xxhash.New()
	for i := range blocks {
		var link [8]byte
		binary.LittleEndian.PutUint64(link[:], previous)
		digest.Reset()
		_, _ = digest.Write(link[:])
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		previous = digest.Sum64()
		blocks[i] = previous
	}
	return blocks
}
