#include "sub_query_run.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>

#include "core/check.h"
#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Results wait this long for others before they are sent on.
constexpr Milliseconds kFlushDelay{5};

MissReason ReasonFor(UpstreamErrc code) {
  switch (code) {
    case UpstreamErrc::kNotStarted:
      return MissReason::kOverloaded;
    case UpstreamErrc::kCancelled:
      return MissReason::kCancelled;
    case UpstreamErrc::kTimeout:
      return MissReason::kTimeout;
    case UpstreamErrc::kUnreachable:
    case UpstreamErrc::kBroken:
      return MissReason::kUnreachable;
    case UpstreamErrc::kMalformed:
      return MissReason::kFailed;
  }
  return MissReason::kFailed;
}

MissReason ReasonFor(UpstreamQueryStatus status) {
  switch (status) {
    case UpstreamQueryStatus::kOk:
      return MissReason::kNone;
    case UpstreamQueryStatus::kWrongVersion:
      return MissReason::kWrongVersion;
    case UpstreamQueryStatus::kRefused:
      return MissReason::kOverloaded;
    case UpstreamQueryStatus::kFailed:
      return MissReason::kFailed;
  }
  return MissReason::kFailed;
}

// Work waiting for one slot of an upstream.
double LoadPerSlot(const UpstreamPool& pool) {
  const UpstreamLoad load = pool.Load();
  return static_cast<double>(load.m_running + load.m_queued) /
         pool.Target().m_slots;
}

}  // namespace

SubQueryRun::SubQueryRun(asio::io_context& context,
                         std::shared_ptr<const FleetView> view,
                         FailureDomain domain,
                         UpstreamTable& table,
                         SubQuery query,
                         PeerService::SubAnswerSink sink,
                         std::function<void()> on_finished)
    : m_strand(asio::make_strand(context)),
      m_flush_timer(m_strand),
      m_view(std::move(view)),
      m_domain(std::move(domain)),
      m_table(table),
      m_query(std::move(query)),
      m_deadline(SteadyClock().Now() + Milliseconds(m_query.m_remaining_ms)),
      m_sink(std::move(sink)),
      m_on_finished(std::move(on_finished)) {}

void SubQueryRun::Start() {
  asio::post(m_strand, [self = shared_from_this()] {
    const auto collection =
        self->m_view->State().FindCollection(self->m_query.m_collection);
    for (const KeyRange& range : self->m_query.m_ranges) {
      if (collection == nullptr || !range.IsValid()) {
        self->Miss({range}, MissReason::kNotOwned);
      } else {
        self->PlanRange(*collection, range);
      }
    }
    self->m_open_pieces = self->m_pieces.size();
    for (std::size_t i = 0; i < self->m_pieces.size(); ++i) {
      self->SendPiece(i);
    }
    self->FinishIfDone();
  });
}

void SubQueryRun::Cancel() {
  asio::post(m_strand, [self = shared_from_this()] {
    for (std::size_t i = 0; i < self->m_pieces.size(); ++i) {
      if (!self->m_pieces[i].m_is_done) {
        const std::string call = self->CallText(i);
        self->m_pieces[i].m_pool->Cancel(
            call, HttpUpstreamAdapter::EncodeCancel(call));
      }
    }
  });
}

void SubQueryRun::PlanRange(const CollectionMap& collection,
                            const KeyRange& range) {
  std::size_t position = collection.ShardAt(range.m_begin);
  for (; position < collection.Shards().size(); ++position) {
    const Shard& shard = collection.Shards()[position];
    const KeyRange part = Intersect(shard.m_range, range);
    if (!part.IsValid()) {
      return;
    }
    PlanPart(collection, shard, part);
  }
}

void SubQueryRun::PlanPart(const CollectionMap& collection,
                           const Shard& shard,
                           const KeyRange& part) {
  std::shared_ptr<UpstreamPool> pool = ChooseReplica(collection, shard);
  if (pool == nullptr) {
    Miss({part}, MissReason::kNoReplica);
    return;
  }
  m_pieces.push_back(Piece{{part}, std::move(pool), false});
}

std::shared_ptr<UpstreamPool> SubQueryRun::ChooseReplica(
    const CollectionMap& collection,
    const Shard& shard) {
  std::shared_ptr<UpstreamPool> best;
  for (const std::uint32_t position : shard.m_replicas) {
    const Upstream& replica = collection.Upstreams()[position];
    if (replica.m_domain != m_domain ||
        replica.m_state != UpstreamState::kLive) {
      continue;
    }
    std::shared_ptr<UpstreamPool> pool = m_table.PoolFor(replica);
    if (pool->Load().m_is_draining) {
      continue;
    }
    if (best == nullptr || LoadPerSlot(*pool) < LoadPerSlot(*best)) {
      best = std::move(pool);
    }
  }
  return best;
}

void SubQueryRun::SendPiece(std::size_t position) {
  const Piece& piece = m_pieces[position];
  UpstreamQuery query;
  query.m_call = CallText(position);
  query.m_collection = m_query.m_collection;
  query.m_index_version = m_query.m_index_version;
  query.m_ranges = piece.m_ranges;
  query.m_body = m_query.m_body;
  query.m_remaining_ms = RemainingMs(SteadyClock().Now(), m_deadline);
  piece.m_pool->Submit(
      query.m_call, HttpUpstreamAdapter::Encode(query), m_deadline,
      [self = shared_from_this(), position](UpstreamResult<HttpReply> reply) {
        asio::post(self->m_strand, [self, position, reply = std::move(reply)] {
          self->OnReply(position, reply);
        });
      });
}

void SubQueryRun::OnReply(std::size_t position,
                          const UpstreamResult<HttpReply>& reply) {
  Piece& piece = m_pieces[position];
  JR_CHECK(!piece.m_is_done);
  piece.m_is_done = true;
  --m_open_pieces;
  if (reply) {
    TakeRows(piece, HttpUpstreamAdapter::DecodeQuery(reply.assume_value()));
  } else {
    Miss(piece.m_ranges, ReasonFor(reply.error().m_code));
  }
  FinishIfDone();
}

void SubQueryRun::TakeRows(const Piece& piece, UpstreamQueryReply reply) {
  if (reply.m_report.m_is_draining) {
    piece.m_pool->MarkDraining();
  }
  NoteOtherVersion(reply.m_report);
  if (reply.m_status != UpstreamQueryStatus::kOk) {
    Miss(piece.m_ranges, ReasonFor(reply.m_status));
    return;
  }

  // Take the rows only if they are of the version and the ranges asked for
  if (reply.m_index_version != m_query.m_index_version) {
    Miss(piece.m_ranges, MissReason::kWrongVersion);
    return;
  }
  if (reply.m_ranges != piece.m_ranges) {
    Miss(piece.m_ranges, MissReason::kFailed);
    return;
  }
  m_unsent.push_back(RangeAnswer{piece.m_ranges.front(), MissReason::kNone,
                                 std::move(reply.m_rows)});
}

void SubQueryRun::Miss(const std::vector<KeyRange>& ranges, MissReason reason) {
  for (const KeyRange& range : ranges) {
    m_unsent.push_back(RangeAnswer{range, reason, {}});
  }
}

void SubQueryRun::NoteOtherVersion(const UpstreamReport& report) {
  if (!report.m_index_versions.empty() &&
      report.m_index_versions.back() != m_query.m_index_version) {
    m_other_version = std::max(m_other_version, report.m_index_versions.back());
  }
}

std::string SubQueryRun::CallText(std::size_t position) const {
  return fmt::format("{}.{}.{}", m_query.m_call.m_request.ToText(),
                     m_query.m_call.m_attempt, position);
}

void SubQueryRun::ScheduleFlush() {
  if (m_unsent.size() != 1) {
    return;
  }
  m_flush_timer.expires_after(kFlushDelay);
  m_flush_timer.async_wait([self = shared_from_this()](auto error) {
    if (!error && !self->m_is_finished && !self->m_unsent.empty()) {
      self->Flush(false);
    }
  });
}

void SubQueryRun::Flush(bool is_last) {
  SubAnswer answer;
  answer.m_call = m_query.m_call;
  answer.m_index_version = m_query.m_index_version;
  answer.m_other_index_version = m_other_version;
  answer.m_is_last = is_last;
  answer.m_ranges = std::exchange(m_unsent, {});
  m_sink(std::move(answer));
}

void SubQueryRun::FinishIfDone() {
  if (m_open_pieces > 0) {
    ScheduleFlush();
    return;
  }
  JR_CHECK(!m_is_finished);
  m_is_finished = true;
  m_flush_timer.cancel();
  Flush(true);
  m_on_finished();
}

}  // namespace jackdawrack
