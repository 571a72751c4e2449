#include <algorithm>

#include "control_timing.h"
#include "policy/control_policy.h"

namespace jackdawrack {

void ControlPolicy::RunDueProbes(TimePoint now) {
  if (now >= m_next_probe_at) {
    ProbeOwnDomain(now);
  }
  if (now >= m_next_other_domain_probe_at) {
    const auto period = std::clamp<Milliseconds>(
        kOtherDomainProbePeriodPerInstance * (m_live_peers.size() + 1),
        kMinOtherDomainProbePeriod, kMaxOtherDomainProbePeriod);
    m_next_other_domain_probe_at = now + AddJitter(period);
    ProbeOtherDomain(now);
  }
  if (m_extra_probes_at && now >= *m_extra_probes_at) {
    m_extra_probes_at.reset();
    for (int i = 0; i < kExtraProbesAfterChange; ++i) {
      ProbeOtherDomain(now);
    }
  }
  if (now >= m_next_non_live_probe_at) {
    m_next_non_live_probe_at = now + AddJitter(kNonLiveProbePeriod);
    ProbeNonLive(now);
  }
}

void ControlPolicy::ProbeOwnDomain(TimePoint now) {
  if (m_live_peers.empty()) {
    return;
  }
  m_next_probe_at = now + AddJitter(kProbePeriod);

  // Probe in shuffled round-robin order, which bounds the time between two
  // probes of a peer
  if (m_next_peer_index >= m_live_peers.size()) {
    std::shuffle(m_live_peers.begin(), m_live_peers.end(), m_random);
    m_next_peer_index = 0;
  }
  Probe(m_live_peers[m_next_peer_index++], {}, now);
}

void ControlPolicy::ProbeOtherDomain(TimePoint now) {
  if (m_other_domains.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> index(0,
                                                   m_other_domains.size() - 1);
  const FailureDomain& domain = m_other_domains[index(m_random)];
  Probe(PickRandom(m_live_by_domain.at(domain)), {}, now);
}

void ControlPolicy::ProbeNonLive(TimePoint now) {
  if (!m_non_live.empty()) {
    Probe(PickRandom(m_non_live), {}, now);
  }
}

void ControlPolicy::Probe(const Instance& target,
                          InstanceId requested_by,
                          TimePoint now) {
  ControlMessage message;
  message.m_kind = ControlKind::kProbe;
  Send(target, std::move(message), now, std::move(requested_by));
}

void ControlPolicy::OnCallFailed(const PendingCall& pending, TimePoint now) {
  const InstanceId& id = pending.m_target.m_id;
  const bool was_alive = m_members.StatusOf(id).m_state == MemberState::kAlive;
  m_members.Suspect(id, now);

  // Request indirect probes from other peers, which may reach the instance
  const bool is_own_domain = pending.m_target.m_domain == m_settings.m_domain;
  if (!was_alive || !is_own_domain || !pending.m_requested_by.IsEmpty()) {
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
