package entry

import (
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
)

const vmPollInterval = 500 * time.Millisecond

// installConfig puts a configuration version in force. It ignores versions that are not newer
// than the current one.
func (e *Entry) installConfig(s *config.Snapshot) {
	current := e.current.Load()
	if s == nil || (current != nil && s.Version <= current.Version) {
		return
	}
	e.current.Store(s)
	e.log.Info("configuration in force", "version", s.Version, "change", s.ID)
	e.syncLinks()
	e.requestNotify()
}

// watchVMs polls the VM list until the entry stops.
func (e *Entry) watchVMs() {
	for e.ctx.Err() == nil {
		vms, err := e.opts.VMs.List(e.ctx)
		if err != nil {
			e.opts.Metrics.Count("vm_list_errors_total", 1)
		} else {
			e.vms.Store(&vms)
			e.entriesDigest.Store(entriesHash(e.liveEntries()))
			e.node.SetPeers(entryPeers(vms))
			e.syncLinks()
		}
		e.sleep(vmPollInterval)
	}
}

// syncLinks creates a link for each declared target whose VM is listed. A target that disappears
// from the list keeps its link: the list lags, and the connection shows when the agent is gone.
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

// targetVMs returns one VM for each target. While a VM is replaced, the list may show the leaving
// VM beside its successor; the live one is preferred.
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

// ensureLink starts a link to the VM's target, or updates the existing one.
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
		e.tasks.Go(l.connectLoop)
	}
	l.updateVM(vm)
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
