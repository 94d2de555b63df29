package agent

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// Intervals of load reports to one entry. A report costs some 100 bytes, and a node may
// spend 5 KB/s on control. An entry that has sent a request within activeWindow therefore
// gets changes soon, and the other entries get them less often. In addition, an entry gets a
// report at once when this agent's queue rejects its request.
const (
	activeWindow         = time.Second
	activeReportInterval = 500 * time.Millisecond
	idleReportInterval   = 2 * time.Second
)

func (a *Agent) reportLoop() {
	ticker := time.NewTicker(a.opts.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, c := range a.conns() {
				a.reportIfDue(c)
			}
		case <-a.stop:
			return
		}
	}
}

func (a *Agent) reportIfDue(c *wire.Conn) {
	p := a.peer(c)
	if p == nil {
		return
	}
	now := int64(time.Since(a.started))
	age := time.Duration(now - p.lastReportAt.Load())
	active := time.Duration(now-p.lastRequestAt.Load()) < activeWindow
	if age >= idleReportInterval || (active && age >= activeReportInterval) {
		a.reportIfChanged(c, p, age >= idleReportInterval)
	}
}

// recordActivity records that an entry has sent a request.
func (a *Agent) recordActivity(c *wire.Conn) {
	if p := a.peer(c); p != nil {
		p.lastRequestAt.Store(int64(time.Since(a.started)))
	}
}

// reportToEntry reports the load to an entry whose request was rejected: the entry's view of
// the load is out of date.
func (a *Agent) reportToEntry(entry string) {
	for _, c := range a.conns() {
		if c.Peer().Name == entry {
			a.report(c)
		}
	}
}

// report sends the target's current load to one entry.
func (a *Agent) report(c *wire.Conn) {
	if p := a.peer(c); p != nil {
		a.reportIfChanged(c, p, true)
	}
}

// reportIfChanged sends a load report if it is due or differs from the latest one.
func (a *Agent) reportIfChanged(c *wire.Conn, p *peerState, due bool) {
	report := a.queue.loadReport(c.Peer().Name)
	load := wireLoad(&report)
	load.Leaving = a.leaving.Load()
	load.EngineUp = a.health.isUp()
	digest := loadDigest(&load)
	if !due && digest == p.lastReportDigest.Load() {
		return
	}
	load.Seq = a.reports.Add(1)
	p.lastReportDigest.Store(digest)
	p.lastReportAt.Store(int64(time.Since(a.started)))
	// If the connection is lost, the entry gets a fresh report on its next connection.
	_ = c.SendNote(wire.NoteLoad, &load)
}

func wireLoad(a *route.LoadReport) wire.Load {
	return wire.Load{
		Total:             wireWork(&a.Total),
		FromReceiver:      wireWork(&a.FromReceiver),
		Queued:            a.Queued,
		Slots:             a.Slots,
		TokensPerSec:      float32(a.TokensPerSec),
		PrefillPerSec:     float32(a.PrefillPerSec),
		FirstTokenBaseSec: float32(a.FirstTokenBaseSec),
		AnswerTokens:      float32(a.AnswerTokens),
	}
}

func wireWork(w *route.Work) wire.Work {
	return wire.Work{Requests: int(w.Requests), Prompt: int(w.Prompt), Decode: int(w.Decode)}
}

func loadDigest(l *wire.Load) uint64 {
	b, err := l.MarshalMsg(nil)
	if err != nil {
		return 0 // SendNote will fail with the same error
	}
	return xxhash.Sum64(b)
}
