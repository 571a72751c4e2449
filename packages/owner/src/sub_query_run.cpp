#include "sub_query_run.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>

#include "core/check.h"
#include "upstream/http_upstream_adapter.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Time for which results are collected before they are sent as one answer.
constexpr Milliseconds kFlushDelay{2};

MissReason MissReasonFor(UpstreamErrc code) {
  switch (code) {
    case UpstreamErrc::kOverloaded:
      return MissReason::kOverloaded;
    case UpstreamErrc::kCancelled:
      return MissReason::kCancelled;
    case UpstreamErrc::kTimeout:
      return MissReason::kTimeout;
    case UpstreamErrc::kUnreachable:
      return MissReason::kUnreachable;
    case UpstreamErrc::kDraining:
      return MissReason::kNoReplica;
    case UpstreamErrc::kConnectionLost:
    case UpstreamErrc::kMalformed:
      return MissReason::kFailed;
  }
  return MissReason::kFailed;
}

MissReason MissReasonFor(UpstreamQueryStatus status) {
  switch (status) {
    case UpstreamQueryStatus::kOk:
      return MissReason::kNone;
    case UpstreamQueryStatus::kWrongVersion:
      return MissReason::kWrongVersion;
    case UpstreamQueryStatus::kRangesNotServed:
      return MissReason::kNotOwned;
    case UpstreamQueryStatus::kRefused:
      return MissReason::kOverloaded;
    case UpstreamQueryStatus::kFailed:
      return MissReason::kFailed;
  }
  return MissReason::kFailed;
}

// Running and queued requests per slot of an upstream.
double LoadPerSlot(const UpstreamPool& pool) {
  const UpstreamLoad load = pool.Load();
  return static_cast<double>(load.m_running + load.m_queued) /
         pool.Target().m_slots;
}

}  // namespace

SubQueryRun::SubQueryRun(asio::io_context& context,
                         const FleetViewHolder& view_holder,
                         FailureDomain domain,
                         UpstreamTable& upstream_table,
                         SubQuery query,
                         PeerService::SubAnswerSink sink,
                         std::function<void()> on_finished)
    : m_strand(asio::make_strand(context)),
      m_flush_timer(m_strand),
      m_view_holder(view_holder),
      m_domain(std::move(domain)),
      m_upstream_table(upstream_table),
      m_query(std::move(query)),
      m_deadline(SteadyClock().Now() + Milliseconds(m_query.m_remaining_ms)),
      m_sink(std::move(sink)),
      m_on_finished(std::move(on_finished)) {}

void SubQueryRun::Start() {
  asio::post(m_strand, [self = shared_from_this()] {
    for (const KeyRange& range : self->m_query.m_ranges) {
      self->PlanRange(range, {}, MissReason::kNoReplica);
    }
    self->SendNewRequests();
    self->FinishIfDone();
  });
}

void SubQueryRun::Cancel() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_is_cancelled = true;
    for (std::size_t i = 0; i < self->m_requests.size(); ++i) {
      if (!self->m_requests[i].m_is_done) {
        const std::string call = self->UpstreamCallId(i);
        self->m_requests[i].m_pool->Cancel(
            call, HttpUpstreamAdapter::EncodeCancel(call));
      }
    }
  });
}

void SubQueryRun::PlanRange(const KeyRange& range,
                            const std::vector<UpstreamId>& tried,
                            MissReason reason) {
  const auto view = m_view_holder.Get();
  const auto collection = view->State().FindCollection(m_query.m_collection);
  if (collection == nullptr || !range.IsValid()) {
    AddMissing(range, MissReason::kNotOwned);
    return;
  }
  std::size_t position = collection->ShardAt(range.m_begin);
  for (; position < collection->Shards().size(); ++position) {
    const Shard& shard = collection->Shards()[position];
    const KeyRange shard_range = Intersect(shard.m_range, range);
    if (!shard_range.IsValid()) {
      return;
    }
    PlanShardRange(*collection, shard, shard_range, tried, reason);
  }
}

void SubQueryRun::PlanShardRange(const CollectionMap& collection,
                                 const Shard& shard,
                                 const KeyRange& shard_range,
                                 const std::vector<UpstreamId>& tried,
                                 MissReason reason) {
  std::shared_ptr<UpstreamPool> pool = ChooseReplica(collection, shard, tried);
  if (pool == nullptr) {
    AddMissing(shard_range, reason);
    return;
  }
  if (m_query.m_is_hedge && LoadPerSlot(*pool) >= 1) {
    AddMissing(shard_range, MissReason::kOverloaded);
    return;
  }
  ShardRequest request{{shard_range}, std::move(pool), tried, false};
  request.m_tried_upstreams.push_back(request.m_pool->Target().m_id);
  m_requests.push_back(std::move(request));
}

std::shared_ptr<UpstreamPool> SubQueryRun::ChooseReplica(
    const CollectionMap& collection,
    const Shard& shard,
    const std::vector<UpstreamId>& tried) {
  std::shared_ptr<UpstreamPool> best;
  for (const std::uint32_t position : shard.m_replicas) {
    const Upstream& replica = collection.Upstreams()[position];
    const bool was_tried =
        std::find(tried.begin(), tried.end(), replica.m_id) != tried.end();
    if (replica.m_domain != m_domain || was_tried ||
        replica.m_state != UpstreamState::kLive) {
      continue;
    }
    std::shared_ptr<UpstreamPool> pool =
        m_upstream_table.GetOrCreatePool(replica);
    const UpstreamLoad load = pool->Load();
    if (load.m_is_draining || load.m_is_unreachable) {
      continue;
    }
    if (best == nullptr || LoadPerSlot(*pool) < LoadPerSlot(*best)) {
      best = std::move(pool);
    }
  }
  return best;
}

void SubQueryRun::SendNewRequests() {
  while (m_sent_requests < m_requests.size()) {
    ++m_pending_requests;
    SendRequest(m_sent_requests++);
  }
}

void SubQueryRun::SendRequest(std::size_t position) {
  const ShardRequest& request = m_requests[position];
  UpstreamQuery query;
  query.m_call = UpstreamCallId(position);
  query.m_collection = m_query.m_collection;
  query.m_index_version = m_query.m_index_version;
  query.m_ranges = request.m_ranges;
  query.m_body = m_query.m_body;
  query.m_remaining_ms = RemainingMs(SteadyClock().Now(), m_deadline);
  request.m_pool->Submit(
      query.m_call, HttpUpstreamAdapter::Encode(query), m_deadline,
      [self = shared_from_this(), position](UpstreamResult<HttpReply> reply) {
        asio::post(self->m_strand, [self, position, reply = std::move(reply)] {
          self->OnReply(position, reply);
        });
      },
      Idempotency::kIdempotent);
}

void SubQueryRun::OnReply(std::size_t position,
                          const UpstreamResult<HttpReply>& reply) {
  JR_CHECK(!m_requests[position].m_is_done);
  m_requests[position].m_is_done = true;
  --m_pending_requests;
  const ShardRequest request = m_requests[position];
  if (reply) {
    HandleReply(request,
                HttpUpstreamAdapter::DecodeQuery(reply.assume_value()));
  } else if (reply.error().m_code == UpstreamErrc::kDraining ||
             reply.error().m_code == UpstreamErrc::kUnreachable) {
    RetryOnOtherReplica(request, MissReasonFor(reply.error().m_code));
  } else {
    for (const KeyRange& range : request.m_ranges) {
      AddMissing(range, MissReasonFor(reply.error().m_code));
    }
  }
  FinishIfDone();
}

void SubQueryRun::HandleReply(const ShardRequest& request,
                              UpstreamQueryReply reply) {
  const KeyRange& asked = request.m_ranges.front();
  if (reply.m_report.m_is_draining) {
    request.m_pool->MarkDraining();
  }

  // A draining upstream refuses without running, so another replica can be
  // asked
  if (reply.m_status == UpstreamQueryStatus::kRefused &&
      reply.m_report.m_is_draining) {
    RetryOnOtherReplica(request, MissReason::kNoReplica);
    return;
  }
  std::vector<std::uint64_t> versions = VersionsToReport(reply.m_report);
  if (reply.m_status != UpstreamQueryStatus::kOk) {
    AddMissing(asked, MissReasonFor(reply.m_status), std::move(versions));
    return;
  }

  // Use the rows only if they are of the requested version and ranges
  if (reply.m_index_version != m_query.m_index_version) {
    AddMissing(asked, MissReason::kWrongVersion, std::move(versions));
    return;
  }
  if (reply.m_ranges != request.m_ranges) {
    AddMissing(asked, MissReason::kFailed, std::move(versions));
    return;
  }
  m_unsent_answers.push_back(RangeAnswer{
      asked, MissReason::kNone, std::move(reply.m_rows), std::move(versions)});
}

void SubQueryRun::AddMissing(const KeyRange& range,
                             MissReason reason,
                             std::vector<std::uint64_t> served_versions) {
  m_unsent_answers.push_back(
      RangeAnswer{range, reason, {}, std::move(served_versions)});
}

void SubQueryRun::RetryOnOtherReplica(const ShardRequest& request,
                                      MissReason reason) {
  const bool is_too_late = SteadyClock().Now() >= m_deadline;
  for (const KeyRange& range : request.m_ranges) {
    if (m_is_cancelled || is_too_late) {
      AddMissing(range, reason);
    } else {
      PlanRange(range, request.m_tried_upstreams, reason);
    }
  }
  SendNewRequests();
}

std::vector<std::uint64_t> SubQueryRun::VersionsToReport(
    const UpstreamReport& report) const {
  const auto collection =
      m_view_holder.Get()->State().FindCollection(m_query.m_collection);
  const bool is_expected =
      report.m_index_versions.empty() ||
      (collection != nullptr &&
       report.m_index_versions.back() == m_query.m_index_version &&
       collection->IndexVersion() == m_query.m_index_version);
  return is_expected ? std::vector<std::uint64_t>() : report.m_index_versions;
}

std::string SubQueryRun::UpstreamCallId(std::size_t position) const {
  return fmt::format("{}.{}.{}", m_query.m_call.m_request.ToText(),
                     m_query.m_call.m_attempt, position);
}

void SubQueryRun::ScheduleFlush() {
  if (m_unsent_answers.empty() || m_is_flush_scheduled) {
    return;
  }
  m_is_flush_scheduled = true;
  m_flush_timer.expires_after(kFlushDelay);
  m_flush_timer.async_wait([self = shared_from_this()](auto error) {
    self->m_is_flush_scheduled = false;
    if (!error && !self->m_is_finished && !self->m_unsent_answers.empty()) {
      self->Flush(false);
    }
  });
}

void SubQueryRun::Flush(bool is_last) {
  SubAnswer answer;
  answer.m_call = m_query.m_call;
  answer.m_index_version = m_query.m_index_version;
  answer.m_is_last = is_last;
  answer.m_ranges = std::exchange(m_unsent_answers, {});
  m_sink(std::move(answer));
}

void SubQueryRun::FinishIfDone() {
  if (m_is_finished) {
    return;
  }
  if (m_pending_requests > 0) {
    ScheduleFlush();
    return;
  }
  m_is_finished = true;
  m_flush_timer.cancel();
  Flush(true);
  m_on_finished();
}

}  // namespace jackdawrack
