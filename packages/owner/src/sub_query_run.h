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

/// Runs one sub-query: one request to each shard's best replica, and answers
/// in parts, so that one straggler does not hold up the rest.
class SubQueryRun final : public std::enable_shared_from_this<SubQueryRun> {
 public:
  SubQueryRun(boost::asio::io_context& context,
              std::shared_ptr<const FleetView> view,
              FailureDomain domain,
              UpstreamTable& table,
              SubQuery query,
              PeerService::SubAnswerSink sink,
              std::function<void()> on_finished);

  /// Sends the requests.
  void Start();

  /// Withdraws what is not answered yet.
  void Cancel();

 private:
  /// One request to one upstream.
  struct Piece {
    std::vector<KeyRange> m_ranges;
    std::shared_ptr<UpstreamPool> m_pool;
    bool m_is_done = false;
  };

  void PlanRange(const CollectionMap& collection, const KeyRange& range);
  void PlanPart(const CollectionMap& collection,
                const Shard& shard,
                const KeyRange& part);
  [[nodiscard]] std::shared_ptr<UpstreamPool> ChooseReplica(
      const CollectionMap& collection,
      const Shard& shard);
  void SendPiece(std::size_t position);
  void OnReply(std::size_t position, const UpstreamResult<HttpReply>& reply);
  void TakeRows(const Piece& piece, UpstreamQueryReply reply);
  void Miss(const std::vector<KeyRange>& ranges, MissReason reason);
  void NoteOtherVersion(const UpstreamReport& report);
  [[nodiscard]] std::string CallText(std::size_t position) const;
  void ScheduleFlush();
  void Flush(bool is_last);
  void FinishIfDone();

  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  boost::asio::steady_timer m_flush_timer;
  const std::shared_ptr<const FleetView> m_view;
  const FailureDomain m_domain;
  UpstreamTable& m_table;
  const SubQuery m_query;
  const TimePoint m_deadline;
  const PeerService::SubAnswerSink m_sink;
  const std::function<void()> m_on_finished;
  std::vector<Piece> m_pieces;
  std::size_t m_open_pieces = 0;
  bool m_is_finished = false;
  std::uint64_t m_other_version = 0;
  std::vector<RangeAnswer> m_unsent;
};

}  // namespace jackdawrack
