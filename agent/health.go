package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
	probePath     = "/healthz"
)

// engineHealth reports to entries when the engine is down, so that none of them has to
// lose a request to notice it. While the engine is down the agent probes it.
type engineHealth struct {
	agent *Agent
	down  atomic.Bool
}

func (h *engineHealth) isUp() bool { return !h.down.Load() }

// recordDown records that the engine is unreachable and starts to probe it.
func (h *engineHealth) recordDown() {
	if h.down.Swap(true) {
		return
	}
	h.agent.log.Info("engine down")
	h.agent.queue.endRest()
	h.reportToAll()
	go h.probeUntilUp()
}

func (h *engineHealth) reportToAll() {
	for _, c := range h.agent.conns() {
		h.agent.report(c)
	}
}

// probeUntilUp probes the engine until it answers with any status.
func (h *engineHealth) probeUntilUp() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for !h.isAnswering() {
		select {
		case <-ticker.C:
		case <-h.agent.ctx.Done():
			return
		}
	}
	h.down.Store(false)
	h.agent.log.Info("engine up")
	h.reportToAll()
}

func (h *engineHealth) isAnswering() bool {
	ctx, cancel := context.WithTimeout(h.agent.ctx, probeTimeout)
	defer cancel()
	reply, err := h.agent.opts.Backend.Run(ctx, &outside.Call{Method: "GET", Path: probePath})
	if err != nil {
		return false
	}
	_ = reply.Body.Close() // the body is not needed: any answer shows that the engine is up
	return true
}
