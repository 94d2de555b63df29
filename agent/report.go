package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// How often an entry is told of the load. One report costs some 100 bytes, and a
// node may spend 5 KB a second on control: an entry that has sent work lately
// hears of changes soon, the others now and then. In between, every refusal of
// this agent's queue brings a report with it.
const (
	workedLately = time.Second
	reportActive = 500 * time.Millisecond
	reportIdle   = 2 * time.Second
)

func (a *Agent) reportLoop() {
	ticker := time.NewTicker(a.opts.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, c := range a.conns() {
				a.reportDue(c)
			}
		case <-a.stop:
			return
		}
	}
}

func (a *Agent) reportDue(c *wire.Conn) {
	p := a.peer(c)
	if p == nil {
		return
	}
	now := int64(time.Since(a.started))
	age := time.Duration(now - p.sent.Load())
	active := time.Duration(now-p.worked.Load()) < workedLately
	if age >= reportIdle || (active && age >= reportActive) {
		a.reportChange(c, p, age >= reportIdle)
	}
}

// worked notes that an entry has sent a request.
func (a *Agent) worked(c *wire.Conn) {
	if p := a.peer(c); p != nil {
		p.worked.Store(int64(time.Since(a.started)))
	}
}

// sendBack tells an entry the load: it has just sent a request here that it
// would have sent elsewhere, had it known.
func (a *Agent) sendBack(entry string) {
	for _, c := range a.conns() {
		if c.Peer().Name == entry {
			a.report(c)
		}
	}
}

// report tells one entry the target's load now.
func (a *Agent) report(c *wire.Conn) {
	if p := a.peer(c); p != nil {
		a.reportChange(c, p, true)
	}
}

// reportChange sends a report if it is due or says something new.
func (a *Agent) reportChange(c *wire.Conn, p *peerState, due bool) {
	account := a.turns.account(c.Peer().Name)
	load := loadOf(&account)
	load.Leaving = a.leaving.Load()
	load.EngineUp = a.health.up()
	digest := digestOfLoad(&load)
	if !due && digest == p.last.Load() {
		return
	}
	load.Seq = a.reports.Add(1)
	p.last.Store(digest)
	p.sent.Store(int64(time.Since(a.started)))
	// A lost connection ends the peer; the next one starts with a fresh report.
	_ = c.SendNote(wire.NoteLoad, &load)
}

func loadOf(a *route.LoadReport) wire.Load {
	return wire.Load{
		Total:             workOf(&a.Total),
		FromReceiver:      workOf(&a.FromReceiver),
		Queued:            a.Queued,
		Slots:             a.Slots,
		TokensPerSec:      float32(a.TokensPerSec),
		PrefillPerSec:     float32(a.PrefillPerSec),
		FirstTokenBaseSec: float32(a.FirstTokenBaseSec),
		AnswerTokens:      float32(a.AnswerTokens),
	}
}

func workOf(w *route.Work) wire.Work {
	return wire.Work{Requests: int(w.Requests), Prompt: int(w.Prompt), Decode: int(w.Decode)}
}

func digestOfLoad(l *wire.Load) uint64 {
	b, err := l.MarshalMsg(nil)
	if err != nil {
		return 0 // SendNote will say so
	}
	return xxhash.Sum64(b)
}
