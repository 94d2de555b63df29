package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

const (
	probeEvery   = 200 * time.Millisecond
	probeTimeout = time.Second
	probePath    = "/healthz"
)

// engineHealth tells entries when the engine is down, so that none of them has
// to find out with a request of its own. While it is down the agent probes it.
type engineHealth struct {
	agent *Agent
	down  atomic.Bool
}

func (h *engineHealth) up() bool { return !h.down.Load() }

// lost books that the engine can't be reached.
func (h *engineHealth) lost() {
	if h.down.Swap(true) {
		return
	}
	h.agent.log.Info("engine down")
	h.tell()
	go h.probe()
}

func (h *engineHealth) tell() {
	for _, c := range h.agent.conns() {
		h.agent.report(c)
	}
}

// probe asks until the engine answers anything at all.
func (h *engineHealth) probe() {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for !h.answers() {
		select {
		case <-ticker.C:
		case <-h.agent.ctx.Done():
			return
		}
	}
	h.down.Store(false)
	h.agent.log.Info("engine up")
	h.tell()
}

func (h *engineHealth) answers() bool {
	ctx, cancel := context.WithTimeout(h.agent.ctx, probeTimeout)
	defer cancel()
	reply, err := h.agent.opts.Backend.Run(ctx, &outside.Call{Method: "GET", Path: probePath})
	if err != nil {
		return false
	}
	_ = reply.Body.Close() // nothing of it is needed
	return true
}
