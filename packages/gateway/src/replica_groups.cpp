#include "replica_groups.h"

#include <algorithm>
#include <set>

#include "core/check.h"
#include "core/event.h"
#include "net/tcp_endpoint.h"
#include "routing/replica_subset.h"

namespace jackdawrack {
namespace {

/// Instances assumed until the fleet is known. Overestimates are safe, as they
/// only reduce this instance's share.
constexpr std::size_t kAssumedLocalInstances = 4;
constexpr std::size_t kAssumedRemoteInstances = 8;

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

// True if `record` describes another process than `known`, to which the
// connections of the pool go.
bool IsDifferentProcess(const ReplicaRecord& known,
                        const ReplicaRecord& record) {
  return known.m_endpoint != record.m_endpoint ||
         known.m_service != record.m_service ||
         known.m_incarnation.m_started_ms != record.m_incarnation.m_started_ms;
}

}  // namespace

ReplicaGroup::ReplicaGroup(const GatewaySettings& settings,
                           TimePoint slack_from)
    : m_choice(settings.m_replica_choice),
      m_budget(settings.m_retry_budget, slack_from) {}

void ReplicaGroup::UpdateCandidates(TimePoint now) {
  m_candidates.clear();
  for (const auto& pool : m_pools) {
    m_candidates.push_back(pool->Candidate(now));
  }
}

ServiceLoad ReplicaGroup::CurrentLoad(TimePoint now) {
  m_standing_queue.Update(!m_waiters.empty(), now);
  if (!m_standing_queue.IsStanding(now)) {
    return {};
  }
  UpdateCandidates(now);
  return EstimateLoad(m_candidates, m_waiters.size());
}

ReplicaPick ReplicaGroup::Choose(const std::vector<UpstreamId>& tried,
                                 TimePoint now) {
  UpdateCandidates(now);
  for (std::size_t index = 0; index < m_pools.size(); ++index) {
    if (Contains(tried, m_pools[index]->Record().m_id)) {
      m_candidates[index].m_is_usable = false;
    }
  }
  const auto best = ChooseReplica(m_candidates, m_choice, m_rotation++);
  if (!best) {
    return {};
  }
  return ReplicaPick{m_pools[*best], m_candidates[*best].m_has_free_connection,
                     m_candidates[*best].m_is_last_resort};
}

std::optional<TimePoint> ReplicaGroup::PausedUntil(TimePoint now) const {
  std::optional<TimePoint> first_end;
  for (const auto& pool : m_pools) {
    const TimePoint end = pool->GetAvailability().PausedUntil();
    if (pool->Candidate(now).m_is_usable) {
      return std::nullopt;
    }
    if (now < end && pool->Candidate(end).m_is_usable) {
      first_end = std::min(first_end.value_or(end), end);
    }
  }
  return first_end;
}

void ReplicaGroup::WaitForCapacity(std::weak_ptr<void> owner,
                                   std::function<void()> callback) {
  m_waiters.push_back(Waiter{std::move(owner), std::move(callback)});
  m_standing_queue.Update(true, BootClock().Now());
}

void ReplicaGroup::StopWaiting(const void* owner) {
  m_waiters.remove_if([owner](const Waiter& waiter) {
    return waiter.m_owner.lock().get() == owner;
  });
  m_standing_queue.Update(!m_waiters.empty(), BootClock().Now());
}

void ReplicaGroup::WakeWaiters() {
  std::list<Waiter> waiters;
  waiters.swap(m_waiters);
  for (const Waiter& waiter : waiters) {
    if (const auto owner = waiter.m_owner.lock()) {
      waiter.m_callback();
    }
  }
  m_standing_queue.Update(!m_waiters.empty(), BootClock().Now());
}

ReplicaGroups::ReplicaGroups(boost::asio::io_context& context,
                             GatewaySettings settings,
                             MemoryBudget& memory)
    : m_context(context),
      m_settings(std::move(settings)),
      m_response_rules{m_settings.m_headers.m_request_id,
                       m_settings.m_headers.m_signature,
                       m_settings.m_max_response_bytes, memory},
      m_startup_ends_at(BootClock().Now() +
                        m_settings.m_retry_budget.m_window) {}

ReplicaGroup& ReplicaGroups::Group(const ServiceName& service) {
  auto& group = m_groups[service];
  if (group == nullptr) {
    group = std::make_unique<ReplicaGroup>(m_settings, m_startup_ends_at);
  }
  return *group;
}

void ReplicaGroups::Update(const PublishedState& state) {
  m_route_table = state.Table();

  // Retire replicas that are no longer published
  const auto records = state.Directory().Records();
  std::set<UpstreamId> published;
  for (const ReplicaRecord& record : records) {
    published.insert(record.m_id);
  }
  std::erase_if(m_pools, [this, &published](const auto& item) {
    if (published.contains(item.first)) {
      return false;
    }
    LogEvent(EventId::kReplicaGone, "upstream={}", item.first.Text());
    item.second->Retire();
    std::erase(Group(item.second->Record().m_service).Pools(), item.second);
    m_retired_pools.push_back(item.second);
    return true;
  });

  // Add new replicas and update changed ones
  for (const ReplicaRecord& record : records) {
    ApplyRecord(record);
  }
  m_availability.Forget(BootClock().Now());
  UpdateConnectionShares();
  for (const auto& [service, group] : m_groups) {
    group->WakeWaiters();
  }
}

void ReplicaGroups::ApplyRecord(const ReplicaRecord& record) {
  boost::system::error_code error;
  const auto address = ToTcpEndpoint(record.m_endpoint, error);
  if (error) {
    LogEvent(EventId::kPublishedValueIgnored, "key={} reason=\"{}\"",
             record.m_id.Text(), error.message());
    return;
  }
  const auto known = m_pools.find(record.m_id);
  const auto pool = known == m_pools.end() ? nullptr : known->second;
  if (pool != nullptr && !IsDifferentProcess(pool->Record(), record)) {
    if (record.m_draining && !pool->Record().m_draining) {
      LogEvent(EventId::kReplicaDraining, "upstream={}", record.m_id.Text());
    }
    if (record != pool->Record()) {
      pool->Update(record);
    }
    return;
  }
  if (pool != nullptr) {
    pool->Retire();
    std::erase(Group(pool->Record().m_service).Pools(), pool);
    m_retired_pools.push_back(pool);
  }
  LogEvent(EventId::kReplicaAppeared,
           "upstream={} service={} address={} domain={}", record.m_id.Text(),
           record.m_service.Text(), record.m_endpoint.ToText(),
           record.m_domain.Text());
  ReplicaConnectionPoolSettings settings;
  settings.m_not_run_header = m_settings.m_headers.m_not_run;
  settings.m_leaving_header = m_settings.m_headers.m_leaving;
  settings.m_drain_bound = m_settings.m_drain_bound;
  settings.m_proximity = m_settings.ProximityOf(record.m_domain);
  ReplicaGroup& group = Group(record.m_service);
  auto new_pool = std::make_shared<ReplicaConnectionPool>(
      m_context, record, address, m_availability.Find(record),
      std::move(settings), m_response_rules, [&group] { group.WakeWaiters(); });

  // The pool is in both lists or, after an exception, in none
  group.Pools().reserve(group.Pools().size() + 1);
  m_pools[record.m_id] = new_pool;
  group.Pools().push_back(std::move(new_pool));
}

FleetSize ReplicaGroups::FleetSizeFor(const FailureDomain& domain) const {
  if (m_instance_counts.empty()) {
    return FleetSize{kAssumedLocalInstances, kAssumedRemoteInstances};
  }
  FleetSize size{0, 0};
  for (const auto& [instance_domain, count] : m_instance_counts) {
    (instance_domain == domain ? size.m_local : size.m_remote) += count;
  }
  return size;
}

void ReplicaGroups::UpdateConnectionShares() {
  if (m_route_table == nullptr) {
    return;
  }
  for (const auto& [id, pool] : m_pools) {
    const ReplicaRecord& record = pool->Record();
    const bool is_local = record.m_domain == m_settings.m_domain;
    const UpstreamLimits limits{
        m_route_table->ConnectionLimit(record.m_service), record.m_slots};
    const std::size_t share =
        ConnectionShare(limits, FleetSizeFor(record.m_domain), is_local);
    pool->SetConnectionShare(is_local || m_is_startup_over ? share : 1);
  }
  for (const auto& [service, group] : m_groups) {
    UpdateSubset(service, *group);
  }
}

void ReplicaGroups::UpdateSubset(const ServiceName& service,
                                 ReplicaGroup& group) {
  std::vector<UpstreamId> remote;
  std::vector<ReplicaConnectionPool*> pools;
  for (const auto& pool : group.Pools()) {
    pool->SetSpare(false);
    if (pool->ReplicaProximity() == Proximity::kRemote &&
        !pool->Record().m_draining) {
      remote.push_back(pool->Record().m_id);
      pools.push_back(pool.get());
    }
  }
  if (remote.empty()) {
    return;
  }
  const UpstreamLimits limits{m_route_table->ConnectionLimit(service),
                              pools.front()->Record().m_slots};
  const auto subset = ChooseReplicaSubset(
      m_settings.m_id, remote,
      RemoteSubsetSize(limits,
                       RegionFleetSizeFor(pools.front()->Record().m_domain),
                       remote.size()));
  for (std::size_t index = 0; index < pools.size(); ++index) {
    pools[index]->SetSpare(!subset[index]);
  }
}

FleetSize ReplicaGroups::RegionFleetSizeFor(const FailureDomain& domain) const {
  if (m_instance_counts.empty()) {
    return FleetSize{kAssumedLocalInstances, kAssumedRemoteInstances};
  }
  FleetSize size{0, 0};
  for (const auto& [instance_domain, count] : m_instance_counts) {
    (m_settings.IsSameRegion(instance_domain, domain) ? size.m_local
                                                      : size.m_remote) += count;
  }
  return size;
}

void ReplicaGroups::SetFleet(std::map<FailureDomain, std::size_t> instances) {
  m_instance_counts = std::move(instances);
  UpdateConnectionShares();
}

void ReplicaGroups::SetRepeatBound(double ratio, double slack) {
  m_settings.m_retry_budget.m_ratio = ratio;
  m_settings.m_retry_budget.m_slack = slack;
  for (const auto& [service, group] : m_groups) {
    group->Budget().SetLimits(ratio, slack);
  }
}

std::size_t ReplicaGroups::FleetSizeTotal() const {
  return FleetSizeFor(m_settings.m_domain).Total();
}

std::size_t ReplicaGroups::ConnectionCount() const {
  std::size_t count = 0;
  for (const auto& [id, pool] : m_pools) {
    count += pool->ConnectionCount();
  }
  return count;
}

void ReplicaGroups::CloseTimedOut(TimePoint now) {
  if (!m_is_startup_over && now >= m_startup_ends_at) {
    m_is_startup_over = true;
    UpdateConnectionShares();
  }
  for (const auto& [id, pool] : m_pools) {
    pool->CloseTimedOut(now);
  }
  for (const auto& pool : m_retired_pools) {
    pool->CloseTimedOut(now);
  }
  std::erase_if(m_retired_pools,
                [](const auto& pool) { return pool->HasNoPendingRequests(); });
}

}  // namespace jackdawrack
