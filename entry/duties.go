package entry

import (
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
)

const vmPoll = 500 * time.Millisecond

// install puts a version in force; an older one than held is never taken.
func (e *Entry) install(s *config.Snapshot) {
	held := e.current.Load()
	if s == nil || (held != nil && s.Version <= held.Version) {
		return
	}
	e.current.Store(s)
	e.log.Info("configuration in force", "version", s.Version, "change", s.ID)
	e.syncLinks()
	e.notifyAgents()
}

func (e *Entry) watchVMs() {
	for e.ctx.Err() == nil {
		vms, err := e.opts.VMs.List(e.ctx)
		if err != nil {
			e.opts.Metrics.Count("vm_list_errors_total", 1)
		} else {
			e.vms.Store(&vms)
			e.entriesDigest.Store(digestNodes(e.liveEntries()))
			e.node.SetPeers(peers(vms))
			e.syncLinks()
		}
		e.sleep(vmPoll)
	}
}

// syncLinks keeps one link to each declared target whose VM is listed. A target
// that the list no longer shows keeps its link: the list lags, and the link
// itself tells when the agent is gone.
func (e *Entry) syncLinks() {
	snap, vms := e.current.Load(), e.vms.Load()
	if snap == nil || vms == nil {
		return
	}
	declared := make(map[string]bool, len(snap.Config.Targets))
	for _, t := range snap.Config.Targets {
		declared[t.Name] = true
	}
	for _, vm := range targetVMs(*vms) {
		if declared[vm.Name] {
			e.ensureLink(vm)
		}
	}
}

// targetVMs returns one VM for each target: while a VM is replaced the list may
// show the leaving one beside its successor.
func targetVMs(vms []outside.VM) map[string]outside.VM {
	chosen := make(map[string]outside.VM)
	for _, vm := range vms {
		if vm.Role != outside.RoleTarget {
			continue
		}
		if other, ok := chosen[vm.Name]; !ok || other.State != outside.StateLive || vm.State == outside.StateLive {
			chosen[vm.Name] = vm
		}
	}
	return chosen
}

func (e *Entry) ensureLink(vm outside.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	l, ok := e.links[vm.Name]
	if !ok {
		l = newLink(e, vm.Name, vm.Address)
		e.links[vm.Name] = l
		e.duties.Go(l.run)
	}
	l.update(vm)
}

func (e *Entry) link(target string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.links[target]
}

func (e *Entry) allLinks() []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := make([]*link, 0, len(e.links))
	for _, l := range e.links {
		links = append(links, l)
	}
	return links
}
