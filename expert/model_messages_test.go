package expert

// messageActions visits the states after the delivery of each message of one ballot to one rank.
func (s *search) messageActions(w *world, b, r int) {
	a := &w.attempt[b]
	next := s.takeCopy(w)
	reply, err := next.agent[r].Hold(simEngine{&next.engine[r], s.variant}, HoldRequest{Ballot: ballot(b), HoldAt: s.holdAt[b]})
	if err == nil {
		previous := a.replies[r]
		if a.repliesComplete {
			previous = &reply // the coordinator ignores further replies
		}
		if previous != nil && !sameReply(previous, &reply) {
			s.visitNext(next, "rank %d holds for ballot %d, reply lost", r, b+1)
		}
		if previous == nil || !sameReply(previous, &reply) {
			next.attempt[b].replies[r] = &reply
			next.attempt[b].repliesComplete = next.attempt[b].replyCount() == modelRanks
		}
		s.visitNext(next, "rank %d holds for ballot %d", r, b+1)
		s.returnCopy(next)
	}
	if a.repliesComplete && !a.confirmed[r] && w.agent[r].Confirm(ballot(b), a.replies[r].Incarnation) == nil {
		next := s.takeCopy(w)
		next.attempt[b].confirmed[r] = true
		s.visitNext(next, "rank %d confirms ballot %d", r, b+1)
		s.returnCopy(next)
	}
	if a.decision != nil && a.replies[r] != nil {
		s.deliverDecision(w, b, r)
	}
	if a.withdrawn {
		next := s.takeCopy(w)
		if s.variant == liftAnyHold {
			next.agent[r].WasRunning = true
		}
		if next.agent[r].Withdraw(simEngine{&next.engine[r], s.variant}, ballot(b)) == nil {
			s.visitNext(next, "rank %d applies the withdrawal of ballot %d", r, b+1)
			s.returnCopy(next)
		}
	}
}

// deliverDecision visits the state after the delivery of a decision to one rank.
func (s *search) deliverDecision(w *world, b, r int) {
	next := s.takeCopy(w)
	a := &w.attempt[b]
	incarnation := a.replies[r].Incarnation
	switch s.variant {
	case ignorePromise:
		next.agent[r].Promised, next.agent[r].HeldBy = ballot(b), ballot(b)
	case ignoreIncarnation:
		incarnation = next.agent[r].Incarnation
	}
	if next.agent[r].Decide(simEngine{&next.engine[r], s.variant}, *a.decision, incarnation, a.replies[r].EngineRun) == nil {
		s.visitNext(next, "rank %d applies the decision of ballot %d", r, b+1)
		s.returnCopy(next)
	}
}

func sameReply(a, b *HoldReply) bool {
	return a.Incarnation == b.Incarnation && a.EngineRun == b.EngineRun && a.Joined == b.Joined && a.NextStep == b.NextStep &&
		a.InStep == b.InStep && a.Map == b.Map && a.HoldAt == b.HoldAt
}
