#include "replica_metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace jackdawrack {
namespace {

using FloatMs = std::chrono::duration<double, std::milli>;

void WriteExchanges(const ReplicaConnectionPool& pool, std::string& out) {
  const ExchangeCounts& counts = pool.Counts();
  const auto write = [&](const char* end, std::uint64_t count) {
    fmt::format_to(std::back_inserter(out),
                   "jackdawrack_upstream_exchanges_total{{service=\"{}\","
                   "upstream=\"{}\",end=\"{}\"}} {}\n",
                   pool.Record().m_service.Text(), pool.Record().m_id.Text(),
                   end, count);
  };
  write("answered", counts.m_answered);
  write("refused", counts.m_refused);
  write("failed", counts.m_failed);
}

void WriteState(ReplicaConnectionPool& pool, TimePoint now, std::string& out) {
  const ReplicaCandidate candidate = pool.Candidate(now);
  const std::string labels =
      fmt::format("{{service=\"{}\",upstream=\"{}\"}}",
                  pool.Record().m_service.Text(), pool.Record().m_id.Text());
  fmt::format_to(std::back_inserter(out),
                 "jackdawrack_upstream_in_flight{} {}\n"
                 "jackdawrack_upstream_latency_ms{} {:.3f}\n"
                 "jackdawrack_upstream_failure_share{} {:.4f}\n"
                 "jackdawrack_upstream_takes_work{} {}\n"
                 "jackdawrack_upstream_leaving{} {}\n"
                 "jackdawrack_upstream_pauses_total{} {}\n",
                 labels, candidate.m_in_flight, labels,
                 FloatMs(candidate.m_latency).count(), labels,
                 candidate.m_failure_share, labels,
                 candidate.m_is_usable ? 1 : 0, labels,
                 pool.GetAvailability().IsLeaving() ? 1 : 0, labels,
                 pool.Counts().m_pauses);
}

}  // namespace

void WriteReplicaMetrics(ReplicaGroups& replicas,
                         TimePoint now,
                         std::string& out) {
  const std::size_t fleet = replicas.FleetSizeTotal();
  for (const auto& [service, group] : replicas.Groups()) {
    fmt::format_to(std::back_inserter(out),
                   "jackdawrack_waiting_requests{{service=\"{}\"}} {}\n"
                   "jackdawrack_repeat_budget_left{{service=\"{}\"}} {:.1f}\n",
                   service.Text(), group->WaitingCount(), service.Text(),
                   group->Budget().Remaining(fleet, now));
    for (const auto& pool : group->Pools()) {
      WriteExchanges(*pool, out);
      WriteState(*pool, now, out);
    }
  }
}

}  // namespace jackdawrack
