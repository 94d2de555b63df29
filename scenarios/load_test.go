package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
)

// load implements the command "load NAME SERVICE CALLERS [TOKENS]": each caller sends one request
// after the other to random live entries, until "end NAME". The command returns when each caller
// has received a first byte.
func (sc *scenario) load(args []string) (string, error) {
	callers, tokens, err := batchArgs(args)
	if err != nil {
		return "", err
	}
	b := &batch{stop: make(chan struct{})}
	sc.batches[args[0]] = b
	b.started.Add(callers)
	for i := range callers {
		l := &callerLoop{scenario: sc, batch: b, name: fmt.Sprintf("%s-%d", args[0], i), service: args[1], tokens: tokens, key: sc.anyTeamKey(i)}
		b.callers.Go(l.run)
	}
	b.started.Wait()
	return "", nil
}

// callerLoop is a caller that sends requests until its batch is stopped.
type callerLoop struct {
	scenario *scenario
	batch    *batch
	name     string
	service  string
	key      string
	tokens   int
}

// run sends requests until the batch is stopped. It marks the caller as started at the first byte of
// a response.
func (l *callerLoop) run() {
	markStarted := sync.OnceFunc(l.batch.started.Done)
	defer markStarted()
	rng := rand.New(rand.NewPCG(1, uint64(len(l.name))))
	for n := 0; ; n++ {
		select {
		case <-l.batch.stop:
			return
		default:
		}
		request := caller{
			entry:       l.scenario.liveEntry(rng),
			key:         l.key,
			service:     l.service,
			marker:      fmt.Sprintf("%s-%d.", l.name, n),
			tokens:      l.tokens,
			onFirstByte: markStarted,
		}
		result := request.run()
		l.batch.add(result)
	}
}

// add records a request that has ended.
func (b *batch) add(s sentRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, s)
}

// liveEntry returns the address of a random live entry.
func (sc *scenario) liveEntry(rng *rand.Rand) string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.entries[rng.IntN(len(sc.entries))]
}

// replace implements the command "replace NAME…": it replaces VMs in sequence, as operators do. The
// new VM is ready before callers stop using the old entry and before the old process is shut down.
func (sc *scenario) replace(names []string) (string, error) {
	for _, name := range names {
		if err := sc.replaceOne(name); err != nil {
			return "", fmt.Errorf("replace %s: %w", name, err)
		}
	}
	return "", sc.awaitReady()
}

func (sc *scenario) replaceOne(name string) error {
	old := sc.procs[name]
	if old == nil {
		return errors.New("no such process")
	}
	if err := sc.startOne(name); err != nil {
		return err
	}
	if err := sc.awaitReady(); err != nil {
		return err
	}
	sc.removeEntry(old)
	sc.procs["old "+name] = old
	if _, err := sc.shutdown([]string{"old " + name}); err != nil {
		return err
	}
	delete(sc.procs, "old "+name)
	return sc.control("DELETE", "/vms/"+old.vm.ID, "")
}
