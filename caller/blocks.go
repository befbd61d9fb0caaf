package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleywick/bramleywick/core/fleet"
)

const (
	// bytesPerToken is used for the initial estimate of a prompt's length; the
	// scheduler corrects it by the reported usage.
	bytesPerToken = 4
	// blockTokens is the size of the engines' cache blocks.
	blockTokens = 2000
	blockBytes  = blockTokens * bytesPerToken
)

// promptTokens returns the estimated length of a prompt in tokens, rounded up.
func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// promptBlocks returns the chained hashes of the prompt's full blocks. Each
// hash covers its block and, through the hash before it, the whole prompt up
// to it. The chain starts with the member and the model, so that a member
// cannot learn from its first-token time what another member has sent.
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
