package agent

import (
	"time"

	"github.com/heatherrail/heatherrail/wire"
)

func (a *Agent) reportLoop() {
	ticker := time.NewTicker(a.opts.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, c := range a.conns() {
				a.report(c)
			}
		case <-a.stop:
			return
		}
	}
}

// report tells one entry the target's load and up to which of the entry's
// dispatches it counts, so that the entry adds its own later ones exactly once.
func (a *Agent) report(c *wire.Conn) {
	p := a.peer(c)
	if p == nil {
		return
	}
	counted := p.counted.Load() // before running, so a dispatch is never missed by both sides
	load := wire.Load{
		Target:    a.opts.Settings.Target,
		Running:   int(a.running.Load()),
		Leaving:   a.leaving.Load(),
		EngineUp:  a.health.up(),
		CountedTo: counted,
	}
	// A lost connection ends the peer; the next one starts with a fresh report.
	_ = c.SendNote(wire.NoteLoad, &load)
}
