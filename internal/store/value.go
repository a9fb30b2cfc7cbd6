package store

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"larchscale/internal/core"
)

// holderSeparator stands between the process and the number of a claim. Processes of before claims had numbers write the
// process alone: to each other, the claims of old and new processes are those of another server.
const holderSeparator = "#"

// claimHolder returns what identifies a claim among those of all processes.
func claimHolder(owner string, claim core.ClaimID) string {
	return owner + holderSeparator + strconv.FormatUint(uint64(claim), 10)
}

// isHeldBy reports whether the value of a key is the claim of holder.
func isHeldBy(value []byte, holder string) bool {
	return isClaim(value) && string(value[1+hexSumLen:]) == holder
}

func isClaim(value []byte) bool { return len(value) >= 1+hexSumLen && value[0] == markClaim }

// claimValue is the value of a key for a claim that is to be made.
type claimValue struct {
	owner string
	value []byte
}

func newClaimValue(owner string, request core.KeyedRequest) claimValue {
	return claimValue{owner: owner,
		value: encodeValue(markClaim, request.Sum, []byte(claimHolder(owner, request.ClaimID)))}
}

// replaces reports whether current is an earlier claim of the same process for the same body. The core claims a key again
// only if its earlier claim did not run; that claim's answer, or its release, was lost or is late.
func (c claimValue) replaces(current []byte) bool {
	return isClaim(current) && c.sameBody(current) &&
		strings.HasPrefix(string(current[1+hexSumLen:]), c.owner+holderSeparator)
}

func (c claimValue) sameBody(current []byte) bool {
	return bytes.Equal(current[1:1+hexSumLen], c.value[1:1+hexSumLen])
}

// interpret interprets the value current of a key that the claim does not replace.
func (c claimValue) interpret(current []byte) (core.Claim, []byte, error) {
	switch {
	case len(current) < 1+hexSumLen:
		return core.ClaimUnavailable, nil, fmt.Errorf("unexpected value of %d bytes", len(current))
	case !c.sameBody(current):
		return core.ClaimConflict, nil, nil
	case current[0] == markDone:
		return core.ClaimDone, current[1+hexSumLen:], nil
	case current[0] == markFailed:
		return core.ClaimFailed, nil, nil
	}
	return core.ClaimOther, nil, nil
}

func encodeValue(mark byte, sum [32]byte, rest []byte) []byte {
	out := hex.AppendEncode([]byte{mark}, sum[:])
	return append(out, rest...)
}
