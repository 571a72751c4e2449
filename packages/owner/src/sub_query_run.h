#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>

#include "model/ids.h"
#include "peer/peer_service.h"
#include "policy/fleet_view.h"
#include "upstream/upstream_messages.h"
#include "upstream/upstream_table.h"

namespace jackdawrack {

/// Runs one sub-query: sends one request per shard to the least loaded replica
/// in the failure domain, and answers in parts, so that a slow replica does not
/// delay the other results. A request that an upstream provably did not run
/// goes to another replica in the domain.
class SubQueryRun final : public std::enable_shared_from_this<SubQueryRun> {
 public:
  SubQueryRun(boost::asio::io_context& context,
              const FleetViewHolder& view_holder,
              FailureDomain domain,
              UpstreamTable& upstream_table,
              SubQuery query,
              PeerService::SubAnswerSink sink,
              std::function<void()> on_finished);

  /// Sends the requests.
  void Start();

  /// Cancels the upstream requests that have no reply yet.
  void Cancel();

 private:
  /// One request to one upstream.
  struct ShardRequest {
    std::vector<KeyRange> m_ranges;
    std::shared_ptr<UpstreamPool> m_pool;
    /// Upstreams that were asked for these ranges, the current one last.
    std::vector<UpstreamId> m_tried_upstreams;
    bool m_is_done = false;
  };

  void PlanRange(const KeyRange& range,
                 const std::vector<UpstreamId>& tried,
                 MissReason reason);
  void PlanShardRange(const CollectionMap& collection,
                      const Shard& shard,
                      const KeyRange& shard_range,
                      const std::vector<UpstreamId>& tried,
                      MissReason reason);
  [[nodiscard]] std::shared_ptr<UpstreamPool> ChooseReplica(
      const CollectionMap& collection,
      const Shard& shard,
      const std::vector<UpstreamId>& tried);
  void SendNewRequests();
  void SendRequest(std::size_t position);
  void OnReply(std::size_t position, const UpstreamResult<HttpReply>& reply);
  void HandleReply(const ShardRequest& request, UpstreamQueryReply reply);
  void AddMissing(const KeyRange& range,
                  MissReason reason,
                  std::vector<std::uint64_t> served_versions = {});
  void RetryOnOtherReplica(const ShardRequest& request, MissReason reason);
  [[nodiscard]] std::vector<std::uint64_t> VersionsToReport(
      const UpstreamReport& report) const;
  [[nodiscard]] std::string UpstreamCallId(std::size_t position) const;
  void ScheduleFlush();
  void Flush(bool is_last);
  void FinishIfDone();

  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_flush_timer;
  const FleetViewHolder& m_view_holder;
  const FailureDomain m_domain;
  UpstreamTable& m_upstream_table;
  const SubQuery m_query;
  const TimePoint m_deadline;
  const PeerService::SubAnswerSink m_sink;
  const std::function<void()> m_on_finished;
  std::vector<ShardRequest> m_requests;
  std::size_t m_sent_requests = 0;
  std::size_t m_pending_requests = 0;
  bool m_is_cancelled = false;
  bool m_is_flush_scheduled = false;
  bool m_is_finished = false;
  std::vector<RangeAnswer> m_unsent_answers;
};

}  // namespace jackdawrack
