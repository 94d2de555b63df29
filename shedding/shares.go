package shedding

// processBytes is the memory that a process needs for itself: configuration, targets, peers.
const processBytes = 24 << 20

// minCallerDivisor is the memory of a process divided by the least part that is held for callers, however small the process is.
const minCallerDivisor = 8

// CallerBytes returns what a process with a limit on its memory may hold for its callers: half of the memory, less what the process needs for
// itself. The other half is for garbage and for what the kernel holds.
func CallerBytes(memory int64) int {
	return int(max(memory/2-processBytes, memory/minCallerDivisor))
}
