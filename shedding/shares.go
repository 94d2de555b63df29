package shedding

// processBytes is the memory that a process needs for itself: configuration, targets, peers.
const processBytes = 24 << 20

// minCallerDivisor is the memory of a process divided by the least part that is held for callers, however small the process is.
const minCallerDivisor = 4

// CallerBytes returns what a process with a limit on its memory may hold for its callers: half of the memory, less what the process needs for
// itself. The other half is for garbage and for what the kernel holds.
func CallerBytes(memory int64) int {
	return int(max(memory/2-processBytes, memory/minCallerDivisor))
}

// Files divides the open files of a process among its ports and the connections that it opens, so that none can take those of another.
type Files struct {
	Callers, Targets, Peers, Directory, Ready, Metrics int
	Entries                                            int // connections that the process opens to other entries
}

// Shares of the open files, in percent. A running request has a connection to its caller and one to its target. The few connections to the
// store and to leaders of groups are among the reserved files.
const (
	callersPercent   = 38
	targetsPercent   = 38
	peersPercent     = 10
	entriesPercent   = 7
	directoryPercent = 3
	readyPercent     = 2
	metricsPercent   = 2

	agentPeersPercent = 60 // of an agent, which has no callers
)

// reservedFiles are left for files that are no connections and for those that have no share, or half of all if there are few.
const reservedFiles = 200

// minPortFiles is the least share of a port.
const minPortFiles = 4

// DivideFiles returns the shares of a process with a limit on its open files.
func DivideFiles(limit int) Files {
	share := func(percent int) int { return shareOf(limit, percent) }
	return Files{
		Callers: share(callersPercent), Targets: share(targetsPercent), Peers: share(peersPercent),
		Directory: share(directoryPercent), Ready: share(readyPercent), Metrics: share(metricsPercent), Entries: share(entriesPercent),
	}
}

// AgentPeers returns the connections of peers in an agent with a limit on its open files.
func AgentPeers(limit int) int { return shareOf(limit, agentPeersPercent) }

func shareOf(limit, percent int) int {
	sockets := limit - min(reservedFiles, limit/2)
	return max(sockets*percent/100, minPortFiles)
}
