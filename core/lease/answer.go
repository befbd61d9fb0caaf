package lease

import (
	"strconv"

	"github.com/bramleywick/bramleywick/core/fleet"
)

func (m *Machine) holderChecked(now fleet.Instant, ev HolderRead) {
	if ev.Holder != nil {
		m.state, m.nextCallAt = waiting, now+m.config.PollInterval
		return
	}
	m.sentAt = now
	m.attempts++
	m.attempt = string(m.config.Instance) + "/" + m.config.Process + "/" + strconv.FormatInt(m.attempts, 10)
	m.issue(granting, func(h Header) Command { return Grant{Header: h, TTL: m.config.TTL} })
}

func (m *Machine) granted(now fleet.Instant, ev Granted) {
	if m.state != granting || ev.Call != m.call {
		// An unused lease expires by itself; revoking it only frees it sooner.
		m.ready.Add(Revoke{LeaseID: ev.LeaseID})
		return
	}
	m.leaseID, m.era = ev.LeaseID, ev.Era
	m.validUntil = m.sentAt + m.config.TTL - m.config.Margin
	if now >= m.validUntil {
		m.retry(now)
		return
	}
	m.writeHolder()
}

func (m *Machine) writeHolder() {
	holder := Holder{Instance: m.config.Instance, Attempt: m.attempt}
	m.issue(writingHolder, func(h Header) Command {
		return WriteHolder{Header: h, LeaseID: m.leaseID, Holder: holder}
	})
}

func (m *Machine) holderRead(now fleet.Instant, ev HolderRead) {
	if ev.Call != m.call {
		return
	}
	if m.state == checkingHolder {
		m.holderChecked(now, ev)
		return
	}
	if m.state != readingHolder {
		return
	}
	switch {
	case ev.Holder == nil:
		m.writeHolder()
	case ev.Holder.Attempt == m.attempt:
		m.issue(readingFence, func(h Header) Command { return ReadFence{h} })
	default:
		m.revokeLease()
		m.state, m.nextCallAt = waiting, now+m.config.PollInterval
	}
}

func (m *Machine) fenceRead(ev FenceRead) {
	if m.state != readingFence || ev.Call != m.call {
		return
	}
	if ev.Fence.Attempt == m.attempt {
		// The write whose answer was lost took effect.
		m.becomeHolder(ev.Fence.Number)
		return
	}
	m.first = ev.Revision == 0 && m.era <= fleet.FirstEra
	m.nextFence = max(ev.Fence.Number, lowestFence(m.era)) + 1
	fence := Fence{Number: m.nextFence, Attempt: m.attempt}
	m.issue(writingFence, func(h Header) Command {
		return WriteFence{Header: h, Revision: ev.Revision, Fence: fence}
	})
}

func (m *Machine) becomeHolder(fence int64) {
	m.fence = fence
	m.state = holding
	m.nextCallAt = m.sentAt + m.config.TTL/3
}

func (m *Machine) done(now fleet.Instant, ev Done) {
	if ev.Call != m.call {
		return
	}
	switch m.state {
	case writingHolder:
		m.issue(readingFence, func(h Header) Command { return ReadFence{h} })
	case writingFence:
		m.becomeHolder(m.nextFence)
	case renewing:
		m.validUntil = m.sentAt + m.config.TTL - m.config.Margin
		m.becomeHolder(m.fence)
	}
}

func (m *Machine) failed(now fleet.Instant, ev Failed) {
	if ev.Call != m.call {
		return
	}
	switch m.state {
	case writingHolder:
		if ev.Cause != CauseUnknown {
			m.retry(now)
			return
		}
		m.issue(readingHolder, func(h Header) Command { return ReadHolder{h} })
	case writingFence:
		if ev.Cause == CauseUnavailable || ev.Cause == CauseLeaseExpired {
			m.retry(now)
			return
		}
		m.issue(readingFence, func(h Header) Command { return ReadFence{h} })
	case renewing:
		if ev.Cause == CauseLeaseExpired {
			m.retry(now)
			return
		}
		// The lease is valid until it expires. A short wait avoids a busy loop
		// if the platform fails at once.
		m.state = holding
		m.nextCallAt = now + m.config.RetryInterval
	default:
		m.retry(now)
	}
}
