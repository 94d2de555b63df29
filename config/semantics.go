package config

// checkSemantics reports values that are well-formed but contradict each other.
func (l *loader) checkSemantics() {
	fleetOfTarget := make(map[string]string, len(l.config.Targets))
	for _, t := range l.config.Targets {
		fleetOfTarget[t.Name] = t.Fleet
	}
	groupOfTarget := make(map[string]string)
	for _, g := range l.config.Groups {
		l.checkGroup(&g, fleetOfTarget, groupOfTarget)
	}
	for _, p := range l.config.Policies {
		// A repeated request that arrives while the first attempt still runs must find
		// its key in the deduplication table.
		if sec := l.byTitle["policy "+p.Name]; sec != nil && p.DedupWindow < p.Deadline {
			l.fail(sec, "dedup-window", "%s is shorter than the deadline, %s", p.DedupWindow, p.Deadline)
		}
	}
	l.checkDuplicateKeys()
}

// checkGroup checks one rank group. Both maps are keyed by target; checkGroup adds
// the ranks of g to groupOfTarget.
func (l *loader) checkGroup(g *Group, fleetOfTarget, groupOfTarget map[string]string) {
	sec := l.byTitle["group "+g.Name]
	for _, rank := range g.Ranks {
		if fleet, known := fleetOfTarget[rank]; known && fleet != g.Fleet {
			l.fail(sec, "ranks", "target %s belongs to fleet %s", rank, fleet)
		}
		if other, taken := groupOfTarget[rank]; taken {
			l.fail(sec, "ranks", "target %s is already a rank of group %s", rank, other)
		}
		groupOfTarget[rank] = g.Name
	}
	if g.Slots < g.Experts {
		l.fail(sec, "slots", "%d slots can't hold %d experts", g.Slots, g.Experts)
	}
}

// checkDuplicateKeys reports a key that two teams share. Its requests would be
// attributed to the team that is indexed last.
func (l *loader) checkDuplicateKeys() {
	teamByHash := make(map[string]string, len(l.config.Teams))
	for _, t := range l.config.Teams {
		for _, h := range t.KeyHashes {
			if other, taken := teamByHash[h]; taken {
				l.fail(l.byTitle["team "+t.Name], "key-hash", "team %s has the same key", other)
			}
			teamByHash[h] = t.Name
		}
	}
}
