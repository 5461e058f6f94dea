package subscription

import "time"

// start starts the subscription at the configured address. The version of the list that the process has is not used after a
// reload with another address, as each address counts its own versions.
func (c *Core) start(e Started) {
	if c.started {
		return
	}
	c.started = true
	s := c.latest()
	c.do(Open{Generation: s.generation, Address: s.address})
	s.delayFirstCall(e.Version)
	var wait time.Duration
	if !c.settings.Pushed && !c.settings.NoInitialDelay {
		wait = time.Duration(c.rng.Float64()*float64(initialSpread)) - (c.now - c.settings.CreatedAt)
	}
	c.do(Wait{Generation: s.generation, For: max(wait, 0)})
}

// changeAddress subscribes to discovery at another address. That counts its own versions, so its whole list is requested.
func (c *Core) changeAddress(e AddressChanged) {
	if !c.unconfirmed {
		c.unconfirmed, c.unconfirmedSince = true, c.now
	}
	old := c.latest()
	old.supersede()
	if !c.started {
		c.remove(old, AtOtherAddress)
	}
	for len(c.subscriptions) >= MaxSubscriptions {
		c.remove(c.evictionCandidate(), TooManyReloads)
	}
	if old.state.isWaiting() {
		c.remove(old, AtOtherAddress)
	}
	next := c.add(c.lease.AddressChanged(c.now), e.Address)
	c.do(SetLeaseExpiry{At: c.lease.ExpiresAt()})
	c.started = true
	c.do(Open{Generation: next.generation, Address: next.address})
	next.debounce(c.now + c.debounceTime())
	c.awaitReloads(next)
}

// evictionCandidate returns the subscription to remove for a new one: the oldest with neither a watch nor a call in
// progress, else the oldest without a watch, else the oldest.
func (c *Core) evictionCandidate() *subscription {
	for _, evictable := range []func(State) bool{
		func(s State) bool { return s != Watching && s != Calling },
		func(s State) bool { return s != Watching },
	} {
		for _, s := range c.subscriptions {
			if evictable(s.state) {
				return s
			}
		}
	}
	return c.subscriptions[0]
}

// debounceTime returns for how long the call after a reload waits for further reloads: not at all without an older watch.
func (c *Core) debounceTime() time.Duration {
	debounce, maxDebounce := switchDebounce, maxSwitchDebounce
	if c.settings.Pushed {
		debounce, maxDebounce = switchDebouncePushed, maxSwitchDebouncePushed
	}
	wait := min(debounce, c.unconfirmedSince+maxDebounce-c.now)
	if !c.settings.Pushed {
		wait += time.Duration(c.rng.Float64() * float64(reloadSpread))
	}
	if !c.hasWatch() {
		return 0
	}
	return wait
}

// awaitReloads waits on in state Debouncing until the older watch is looked at next.
func (c *Core) awaitReloads(s *subscription) {
	c.do(Wait{Generation: s.generation, For: max(min(s.debounceUntil-c.now, debounceCheckInterval), 0)})
}

// endWait makes the call for which a subscription has waited.
func (c *Core) endWait(s *subscription) {
	switch {
	case !s.state.isWaiting():
		return
	case s.state == Debouncing && c.hasWatch() && c.now < s.debounceUntil:
		c.awaitReloads(s)
		return
	}
	c.calls++
	s.beginCall(c.now, c.calls)
	c.do(Call{Generation: s.generation, Number: s.call, Address: s.address, Version: s.version})
}

// receiveList accepts a list of a watch and makes the watch the current one: older subscriptions are closed. A silent watch
// only has its version recorded.
func (c *Core) receiveList(s *subscription, e ListReceived) {
	switch {
	case s.state == Closed:
		return
	case e.Call == s.silentCall:
		s.acceptSilentList(e.Version)
		c.do(Deliver{})
		return
	case e.Call != s.call || s.state.isWaiting():
		return // a later watch has delivered a list meanwhile
	}
	if s.silentCall != 0 {
		s.endSilentWatch()
		c.do(CloseSilentWatch{Generation: s.generation})
	}
	s.acceptList(e.Version)
	for c.subscriptions[0] != s {
		c.remove(c.subscriptions[0], AtOtherAddress)
	}
	if c.latest() == s {
		c.unconfirmed = false
	}
	c.do(Deliver{})
}

// confirmLease renews the lease after a list or a heartbeat.
func (c *Core) confirmLease(s *subscription) {
	if s.state != Closed {
		c.lease.Confirm(c.now, s.generation)
		c.do(SetLeaseExpiry{At: c.lease.ExpiresAt()})
	}
}

// keepSilentWatch has a silent watch read until another call is answered: a network path that recovers may deliver buffered
// lists earlier than the other call leaves discovery's queue.
func (c *Core) keepSilentWatch(s *subscription, call int) {
	if s.state == Closed {
		return
	}
	if s.silentCall != 0 {
		c.do(CloseSilentWatch{Generation: s.generation})
	}
	s.fallSilent(call)
}

// endCall records what the end of a call shows, and has the next one made after a pause.
func (c *Core) endCall(s *subscription, end CallEnded) {
	if s.state == Closed {
		return
	}
	wasWatching, latest := s.state == Watching, c.latest() == s
	c.callEnds[end.Outcome]++
	pause := s.endCall(end, c.now, c.rng)
	c.updateLease(end, wasWatching, latest)
	c.do(SetLeaseExpiry{At: c.lease.ExpiresAt()})
	c.do(ReportCallEnd{End: end, Address: s.address, Version: s.version, Pause: pause, Superseded: !latest, State: c.Snapshot(c.now)})
	if !c.hasWatch() {
		c.do(SourceLost{})
	}
	if s.superseded {
		c.remove(s, AtOtherAddress)
		return
	}
	c.do(Wait{Generation: s.generation, For: pause})
}

// updateLease records in the lease what the end of a call, or of an open watch, shows about discovery. For a superseded
// subscription only the end of its watch counts.
func (c *Core) updateLease(end CallEnded, wasWatching, latest bool) {
	if end.Outcome == Ended || end.Outcome == Truncated {
		c.lease.RecordEndedWatch(c.now)
	}
	if !latest {
		return
	}
	switch end.Outcome {
	case Broken, Truncated: // a truncated watch may have been ended by discovery, or show an outage
		if wasWatching {
			c.lease.RecordBrokenWatch()
		}
	case Unreachable:
		c.lease.RecordUnreachable(end.StartedAt)
	case Failed, Unanswered:
		c.lease.RecordFailedCall()
	case Refused:
		c.lease.RecordRefusedCall()
	}
}
