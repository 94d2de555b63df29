package expert

import "slices"

// Complete returns l with each expert on at least one rank. Experts without a rank go to the ranks with
// the fewest experts; a rank that holds places experts gives up one that another rank holds too. l is
// not changed. An expert stays without a rank if no rank has room for it.
func Complete(l Layout, experts, places int) Layout {
	c := l.Clone()
	copies := make([]int, experts)
	for _, list := range c {
		for _, e := range list {
			if int(e) < experts {
				copies[e]++
			}
		}
	}
	for e := range experts {
		if copies[e] > 0 {
			continue
		}
		r := c.leastFilled()
		if len(c[r]) < places {
			c[r] = append(c[r], uint16(e))
			copies[e]++
			continue
		}
		for _, list := range c {
			spare := slices.IndexFunc(list, func(held uint16) bool { return copies[held] > 1 })
			if spare >= 0 {
				copies[list[spare]]--
				list[spare] = uint16(e)
				copies[e]++
				break
			}
		}
	}
	return c
}

// leastFilled returns the rank with the fewest experts.
func (l Layout) leastFilled() int {
	least := 0
	for r := range l {
		if len(l[r]) < len(l[least]) {
			least = r
		}
	}
	return least
}
