package entry

import (
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	logPage    = 256
	logWait    = 5 * time.Second
	logBackoff = 200 * time.Millisecond
	vmPoll     = 500 * time.Millisecond
)

// tailLog folds the log into configuration versions.
func (e *Entry) tailLog() {
	fold := config.NewFold()
	next := uint64(0)
	for e.ctx.Err() == nil {
		page, err := e.opts.Log.Read(e.ctx, next, logPage, logWait)
		if err != nil {
			e.opts.Metrics.Count("log_read_errors_total", 1)
			e.sleep(logBackoff)
			continue
		}
		next = page.Next
		for _, raw := range page.Records {
			if err := fold.Apply(raw); err != nil {
				e.log.Error(err, "configuration stopped")
				return
			}
		}
		e.install(fold.Current())
	}
}

// install puts a version in force; an older one than held is never taken.
func (e *Entry) install(s *config.Snapshot) {
	held := e.current.Load()
	if s == nil || (held != nil && s.Version <= held.Version) {
		return
	}
	e.current.Store(s)
	e.log.Info("configuration in force", "version", s.Version, "change", s.ID)
	e.syncLinks()
	for _, l := range e.allLinks() {
		l.notify(s)
	}
}

func (e *Entry) watchVMs() {
	for e.ctx.Err() == nil {
		vms, err := e.opts.VMs.List(e.ctx)
		if err != nil {
			e.opts.Metrics.Count("vm_list_errors_total", 1)
		} else {
			e.vms.Store(&vms)
			e.entriesDigest.Store(digestNodes(e.liveEntries()))
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
	for _, vm := range *vms {
		if vm.Role == platform.RoleTarget && declared[vm.Name] {
			e.ensureLink(vm)
		}
	}
}

func (e *Entry) ensureLink(vm platform.VM) {
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

func notice(s *config.Snapshot) *wire.ConfigNotice {
	return &wire.ConfigNotice{Version: s.Version, Digest: s.Digest}
}
