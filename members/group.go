package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// PeerClient asks one entry; *peers.Client is one.
type PeerClient interface {
	// Ask sends a question and decodes the answer, both within limit.
	Ask(ctx context.Context, kind peers.Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error
	// Close ends the connection.
	Close()
}

// Piggyback is what rides on questions and answers beside the entries themselves.
type Piggyback interface {
	// LocalState tells whether this entry takes requests, and reaches the store.
	LocalState() (ready, store bool)
	// PrepareProbe completes a question to an entry; done is called once it is over.
	PrepareProbe(name string, q *peers.Heartbeat) (done func())
	// HandleAck works in the answer to a question that was sent at a time.
	HandleAck(answer *peers.Heartbeat, sent time.Time)
	// HandleProbe works in a question and completes its answer. askBack tells that whoever asked
	// knows something that this entry lacks.
	HandleProbe(question, answer *peers.Heartbeat) (askBack bool)
}

// Options are what a group is made of.
type Options struct {
	Self             peers.Presence
	Piggyback        Piggyback
	Dial             func(address string) PeerClient
	Rand             *rand.Rand
	Log              logr.Logger
	IncrementCounter func(counter string)
}

// Membership keeps in touch with the entries of a fleet.
type Membership struct {
	opts  Options
	table *Table

	mu      sync.Mutex
	clients map[string]*client // by name
	waiting map[string]bool    // names in the ring
	ring    chan string        // entries to ask
	news    chan struct{}      // holds one token if there is something to tell
	synced  bool               // somebody has told all that it knows
}

// Figures of the protocol.
const (
	// probeEvery: with it, some entry asks a dead one within half a second in the mean,
	// however many entries there are.
	probeEvery = 250 * time.Millisecond
	// lostEvery is how many questions go by until one goes to a lost entry.
	lostEvery = 4
	// askLimit is many times the longest way, and leaves a small VM time to answer.
	askLimit = 400 * time.Millisecond
	// helpLimit leaves a helper its own limit.
	helpLimit = askLimit + 200*time.Millisecond
	// helpers are asked whether an entry answers them.
	helpers = 3
	// fanOut is how many entries hear news at once from each that has it: with five, one in
	// 150 (e to the minus five) is missed, and hears it with the next question.
	fanOut = 5
	// tellPause gathers the news of a moment, as when all entries start at once.
	tellPause = 30 * time.Millisecond
	// workers ask at the same time; a dead entry keeps one for the whole limit.
	workers  = 8
	ringSize = 256
	// settled: entries that know different things after so long without news have missed some.
	settled = time.Second
	// idleAfter ends connections to entries that are not asked for a while.
	idleAfter = 4 * time.Second
)

// New returns a group that asks nobody yet.
func New(o Options) *Membership {
	return &Membership{
		opts:    o,
		table:   NewTable(o.Self, o.Rand),
		clients: make(map[string]*client),
		waiting: make(map[string]bool),
		ring:    make(chan string, ringSize),
		news:    make(chan struct{}, 1),
	}
}

// Table returns what is known of entries.
func (g *Membership) Table() *Table { return g.table }

// Run keeps in touch until ctx ends.
func (g *Membership) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for range workers {
		tasks.Go(func() { g.work(ctx) })
	}
	tasks.Go(func() { g.tellNews(ctx) })
	tasks.Go(func() { g.probe(ctx) })
	tasks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.clients {
		c.asker.Close()
	}
}

// Disseminate has some others hear at once that there is news.
func (g *Membership) Disseminate() {
	select {
	case g.news <- struct{}{}:
	default: // they are about to
	}
}

// AddFromRecord keeps an entry by its record in the store.
func (g *Membership) AddFromRecord(p peers.Presence) {
	if g.table.AddFromRecord(p, time.Now()) {
		g.opts.Log.Info("entry known", "entry", p.Name, "address", p.PeerAddr)
		g.enqueue(p.Name)
	}
}

// enqueue has an entry asked soon.
func (g *Membership) enqueue(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[name] {
		return
	}
	select {
	case g.ring <- name:
		g.waiting[name] = true
	default:
		g.opts.IncrementCounter("entries_not_asked") // it is asked in its turn
	}
}

func (g *Membership) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-g.ring:
			g.mu.Lock()
			delete(g.waiting, name)
			g.mu.Unlock()
			g.ask(ctx, name)
		}
	}
}

// probe asks one entry after the other.
func (g *Membership) probe(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		g.pause(ctx, probeEvery)
		if _, changed := g.table.UpdateSelf(g.opts.Piggyback.LocalState()); changed {
			g.Disseminate()
		}
		if name, ok := g.table.NextToProbe(); ok {
			g.enqueue(name)
		}
		for _, name := range g.table.Suspects() {
			g.enqueue(name)
		}
		if n%lostEvery == 0 {
			if name, ok := g.table.NextLostToProbe(time.Now()); ok {
				g.enqueue(name)
			}
			g.closeIdle()
		}
	}
}

// tellNews asks some entries at once whenever there is news.
func (g *Membership) tellNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.news:
		}
		for _, name := range g.table.RandomAliveMostlyLocal(fanOut) {
			g.enqueue(name)
		}
		g.pause(ctx, tellPause)
	}
}

func (g *Membership) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// heartbeat returns what this entry tells of itself and others.
func (g *Membership) heartbeat() *peers.Heartbeat {
	self, changed := g.table.UpdateSelf(g.opts.Piggyback.LocalState())
	if changed {
		g.Disseminate()
	}
	return &peers.Heartbeat{Entry: self, Members: g.table.RecentUpdates(time.Now()), Digest: g.table.Digest()}
}

// ask asks an entry, and others about it if it does not answer.
func (g *Membership) ask(ctx context.Context, name string) {
	err := g.question(ctx, name)
	if err == nil || ctx.Err() != nil {
		return
	}
	if g.table.RecordProbeFailure(name, g.others(ctx, name), time.Now()) {
		g.opts.Log.Info("entry lost", "entry", name, "error", err.Error())
		g.Disseminate()
	}
}

// question asks an entry and works in its answer.
func (g *Membership) question(ctx context.Context, name string) error {
	asker := g.client(name)
	if asker == nil {
		return nil
	}
	q := g.heartbeat()
	q.All = g.wantsAll()
	done := g.opts.Piggyback.PrepareProbe(name, q)
	defer done()
	sent := time.Now()
	var answer peers.Heartbeat
	if err := asker.Ask(ctx, peers.KindHeartbeat, q, &answer, askLimit); err != nil {
		if q.All {
			g.syncFailed()
		}
		return err
	}
	g.MergeHeartbeat(&answer)
	g.opts.Piggyback.HandleAck(&answer, sent)
	if answer.Digest != g.table.Digest() && g.table.SinceLastUpdate(time.Now()) > settled {
		g.syncFailed()
	}
	return nil
}

// wantsAll tells, once, that all that another entry knows is to be asked for.
func (g *Membership) wantsAll() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	wants := !g.synced
	g.synced = true
	return wants
}

// syncFailed has the next question ask for all that the other one knows.
func (g *Membership) syncFailed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.synced = false
}

// others asks some entries whether another one answers them.
func (g *Membership) others(ctx context.Context, name string) IndirectResult {
	verdicts := make(chan IndirectResult, helpers)
	drawn := g.table.RandomAlive(helpers, name)
	for _, helper := range drawn {
		go func() { verdicts <- g.help(ctx, helper, name) }()
	}
	worst := IndirectNone
	for range drawn {
		switch <-verdicts {
		case IndirectAck:
			return IndirectAck
		case IndirectTimeout:
			worst = IndirectTimeout
		}
	}
	return worst
}

func (g *Membership) help(ctx context.Context, helper, name string) IndirectResult {
	asker := g.client(helper)
	if asker == nil {
		return IndirectNone
	}
	var result peers.ProbeResult
	if err := asker.Ask(ctx, peers.KindProbe, &peers.ProbeQuery{Name: name}, &result, helpLimit); err != nil {
		return IndirectNone
	}
	switch {
	case !result.Known:
		return IndirectNone
	case result.Answered:
		return IndirectAck
	}
	return IndirectTimeout
}

// MergeHeartbeat takes what an entry tells of itself and others.
func (g *Membership) MergeHeartbeat(h *peers.Heartbeat) (believed *peers.Member) {
	now := time.Now()
	news, believed := g.table.MergeOwnPresence(h.Entry, now)
	if news {
		g.opts.Log.Info("entry heard", "entry", h.Entry.Name, "ready", h.Entry.Ready, "store", h.Entry.StoreReachable, "incarnation", h.Entry.Incarnation)
	}
	told := g.table.MergeMembers(h.Members, now)
	for _, name := range told.ToProbe {
		g.enqueue(name)
	}
	if news || told.HasUpdates {
		g.Disseminate()
	}
	return believed
}

// HandleProbe answers a question.
func (g *Membership) HandleProbe(payload []byte) (msgp.Marshaler, error) {
	var q peers.Heartbeat
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	believed := g.MergeHeartbeat(&q)
	answer := g.heartbeat()
	if q.All {
		answer.Members = g.table.All()
	}
	if believed != nil {
		answer.Members = append(answer.Members, *believed)
	}
	if g.opts.Piggyback.HandleProbe(&q, answer) {
		g.enqueue(q.Entry.Name)
	}
	return answer, nil
}

// HandleIndirectProbe asks an entry for another one that it did not answer.
func (g *Membership) HandleIndirectProbe(payload []byte) (msgp.Marshaler, error) {
	var q peers.ProbeQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	if _, known := g.table.Address(q.Name); !known {
		return &peers.ProbeResult{}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), helpLimit)
	defer cancel()
	return &peers.ProbeResult{Known: true, Answered: g.question(ctx, q.Name) == nil}, nil
}
