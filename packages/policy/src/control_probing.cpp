#include <algorithm>

#include "control_timing.h"
#include "policy/control_policy.h"

namespace jackdawrack {

void ControlPolicy::ProbeWhatIsDue(TimePoint now) {
  if (now >= m_next_probe) {
    ProbeOwnDomain(now);
  }
  if (now >= m_next_other_probe) {
    const auto period = std::clamp<Milliseconds>(
        kOtherProbePeriodPerPeer * (m_live_peers.size() + 1),
        kMinOtherProbePeriod, kMaxOtherProbePeriod);
    m_next_other_probe = now + Jitter(period);
    ProbeOtherDomain(now);
  }
  if (m_extra_other_probe && now >= *m_extra_other_probe) {
    m_extra_other_probe.reset();
    for (int i = 0; i < kExtraOtherProbes; ++i) {
      ProbeOtherDomain(now);
    }
  }
  if (now >= m_next_lost_probe) {
    m_next_lost_probe = now + Jitter(kLostProbePeriod);
    ProbeLost(now);
  }
}

void ControlPolicy::ProbeOwnDomain(TimePoint now) {
  if (m_live_peers.empty()) {
    return;
  }
  m_next_probe = now + Jitter(kProbePeriod);

  // Probe in shuffled round-robin order, which bounds the time between two
  // probes of a peer
  if (m_next_peer >= m_live_peers.size()) {
    std::shuffle(m_live_peers.begin(), m_live_peers.end(), m_random);
    m_next_peer = 0;
  }
  Probe(m_live_peers[m_next_peer++], {}, now);
}

void ControlPolicy::ProbeOtherDomain(TimePoint now) {
  if (m_other_domains.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> place(0,
                                                   m_other_domains.size() - 1);
  const FailureDomain& domain = m_other_domains[place(m_random)];
  Probe(Pick(m_live.at(domain)), {}, now);
}

void ControlPolicy::ProbeLost(TimePoint now) {
  if (!m_lost.empty()) {
    Probe(Pick(m_lost), {}, now);
  }
}

void ControlPolicy::Probe(const Instance& target,
                          InstanceId asked_by,
                          TimePoint now) {
  ControlMessage message;
  message.m_kind = ControlKind::kProbe;
  Send(target, std::move(message), now, std::move(asked_by));
}

void ControlPolicy::OnCallFailed(const Pending& pending, TimePoint now) {
  const InstanceId& id = pending.m_target.m_id;
  const bool was_alive = m_members.StatusOf(id).m_state == MemberState::kAlive;
  m_members.Suspect(id, now);

  // Request indirect probes from other peers, which may reach the instance
  const bool is_own_domain = pending.m_target.m_domain == m_settings.m_domain;
  if (!was_alive || !is_own_domain || !pending.m_asked_by.IsEmpty()) {
    return;
  }
  std::size_t asked = 0;
  for (const Instance& peer : m_live_peers) {
    if (asked >= kIndirectProbes) {
      return;
    }
    if (peer.m_id != id) {
      ControlMessage message;
      message.m_probe_target = id;
      Send(peer, std::move(message), now);
      ++asked;
    }
  }
}

}  // namespace jackdawrack
