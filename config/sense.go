package config

// sense checks what is well-formed but can't be meant.
func (l *loader) sense() {
	fleets := make(map[string]string, len(l.config.Targets))
	for _, t := range l.config.Targets {
		fleets[t.Name] = t.Fleet
	}
	groupOf := make(map[string]string)
	for _, g := range l.config.Groups {
		l.group(&g, fleets, groupOf)
	}
	for _, p := range l.config.Policies {
		// A repeat that comes while the first try still runs must find it remembered.
		if sec := l.seen["policy "+p.Name]; sec != nil && p.DedupWindow < p.Deadline {
			l.fail(sec, "dedup-window", "%s is shorter than the deadline, %s", p.DedupWindow, p.Deadline)
		}
	}
	l.sharedKeys()
}

// group checks one rank group; fleets and groupOf are by target.
func (l *loader) group(g *Group, fleets, groupOf map[string]string) {
	sec := l.seen["group "+g.Name]
	for _, rank := range g.Ranks {
		if fleet, known := fleets[rank]; known && fleet != g.Fleet {
			l.fail(sec, "ranks", "target %s belongs to fleet %s", rank, fleet)
		}
		if other, taken := groupOf[rank]; taken {
			l.fail(sec, "ranks", "target %s is already a rank of group %s", rank, other)
		}
		groupOf[rank] = g.Name
	}
	if g.Slots < g.Experts {
		l.fail(sec, "slots", "%d slots can't hold %d experts", g.Slots, g.Experts)
	}
}

// sharedKeys refuses a key that two teams hold: its requests would count for, and be
// answered as, whichever comes last.
func (l *loader) sharedKeys() {
	holder := make(map[string]string, len(l.config.Teams))
	for _, t := range l.config.Teams {
		for _, h := range t.KeyHashes {
			if other, taken := holder[h]; taken {
				l.fail(l.seen["team "+t.Name], "key-hash", "team %s has the same key", other)
			}
			holder[h] = t.Name
		}
	}
}
