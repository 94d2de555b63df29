package scenarios

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
)

// load NAME SERVICE CALLERS [TOKENS] lets callers send one request after the
// other until `end NAME`, each to a live entry.
func (w *world) load(args []string) (string, error) {
	callers, tokens, err := batchArgs(args)
	if err != nil {
		return "", err
	}
	b := &batch{stop: make(chan struct{})}
	w.batches[args[0]] = b
	b.first.Add(callers)
	for i := range callers {
		l := &loop{world: w, batch: b, name: fmt.Sprintf("%s-%d", args[0], i), service: args[1], tokens: tokens, key: w.anyTeamKey(i)}
		b.all.Go(l.run)
	}
	b.first.Wait()
	return "", nil
}

// loop is one caller that sends until its batch is stopped.
type loop struct {
	world   *world
	batch   *batch
	name    string
	service string
	key     string
	tokens  int
}

func (l *loop) run() {
	started := sync.OnceFunc(l.batch.first.Done)
	defer started()
	rng := rand.New(rand.NewPCG(1, uint64(len(l.name))))
	for n := 0; ; n++ {
		select {
		case <-l.batch.stop:
			return
		default:
		}
		c := caller{
			entry:   l.world.liveEntry(rng),
			key:     l.key,
			service: l.service,
			mark:    fmt.Sprintf("%s-%d.", l.name, n),
			tokens:  l.tokens,
			first:   started,
		}
		s := c.run()
		l.batch.add(s)
	}
}

func (b *batch) add(s sent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, s)
}

func (w *world) liveEntry(rng *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[rng.IntN(len(w.entries))]
}

// replace NAME… replaces VMs one after the other as an operator does: the new VM
// is up before callers leave the old entry; an agent's successor takes its target.
func (w *world) replace(names []string) (string, error) {
	for _, name := range names {
		if err := w.replaceOne(name); err != nil {
			return "", fmt.Errorf("replace %s: %w", name, err)
		}
	}
	return "", w.awaitReady()
}

func (w *world) replaceOne(name string) error {
	old := w.procs[name]
	if old == nil {
		return errors.New("there is no such process")
	}
	if err := w.startOne(name); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	w.forgetEntry(old)
	w.procs["old "+name] = old
	if _, err := w.shutdown([]string{"old " + name}); err != nil {
		return err
	}
	delete(w.procs, "old "+name)
	return w.control("DELETE", "/vms/"+old.vm.ID, "")
}
