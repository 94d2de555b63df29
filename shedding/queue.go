package shedding

// queue is a list of holders, longest in it first. A holder is in one queue at a time.
type queue struct{ first, last *Holder }

func (q *queue) push(h *Holder) {
	h.previous, h.next = q.last, nil
	if q.last == nil {
		q.first = h
	} else {
		q.last.next = h
	}
	q.last = h
}

func (q *queue) remove(h *Holder) {
	if h.previous == nil {
		q.first = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next == nil {
		q.last = h.previous
	} else {
		h.next.previous = h.previous
	}
	h.previous, h.next = nil, nil
}
