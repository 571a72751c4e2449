#include "gather_run.h"

#include <fmt/format.h>

#include <algorithm>

#include "core/check.h"
#include "request_log.h"
#include "routing/record_merge.h"

namespace jackdawrack {
namespace {

/// Kept for the way of the answer to the caller and of the request here,
/// connection set-up included, with a lost packet's jitter.
constexpr Milliseconds kCallerWayMargin{16};

/// Part of the target latency kept for the same reason where it is long.
constexpr double kMarginPart = 0.08;

GatherTiming MakeTiming(const CallerCall& call) {
  const Milliseconds target = call.m_route->m_target_latency;
  const Milliseconds margin =
      std::max(kCallerWayMargin,
               Milliseconds(static_cast<Milliseconds::rep>(
                   static_cast<double>(target.count()) * kMarginPart)));
  return GatherTiming{call.m_arrived_at + target - call.m_spent_before - margin,
                      call.m_final_at};
}

std::string_view FieldOf(const UpstreamAnswer& answer,
                         const std::string& name) {
  const auto value = answer[name];
  return {value.data(), value.size()};
}

}  // namespace

GatherRun::GatherRun(const RunContext& context,
                     std::shared_ptr<const CallerCall> call,
                     AnswerHandler handler)
    : m_context(context),
      m_call(std::move(call)),
      m_handler(std::move(handler)),
      m_timer(context.m_io),
      m_progress(
          static_cast<std::uint32_t>(m_call->m_route->m_gather.m_shards.size()),
          m_call->m_route->m_gather.m_least_share,
          MakeTiming(*m_call)) {}

void GatherRun::Start() {
  const auto& shards = m_call->m_route->m_gather.m_shards;
  m_answers.resize(shards.size());
  m_parts.reserve(shards.size());
  for (std::size_t index = 0; index < shards.size(); ++index) {
    m_parts.push_back(std::make_shared<PartRun>(
        m_context, m_call, shards[index],
        [weak = weak_from_this(), index](PartResult result) {
          if (const auto self = weak.lock()) {
            self->OnPart(index, std::move(result));
          }
        },
        [weak = weak_from_this()] {
          const auto self = weak.lock();
          if (self != nullptr && self->m_is_started) {
            self->WaitForTimer();
          }
        }));
    m_parts.back()->Start();
  }
  m_is_started = true;
  Conclude();
  WaitForTimer();
}

void GatherRun::OnPart(std::size_t index, PartResult result) {
  if (m_is_over) {
    return;
  }
  if (result.IsSuccess()) {
    m_answers[index] = std::move(result.m_answer);
    m_progress.NoteCovered();
  } else {
    m_progress.NoteLost();
  }
  if (m_is_started) {
    Conclude();
  }
}

void GatherRun::Conclude() {
  const TimePoint now = BootClock().Now();
  const GatherVerdict verdict = m_progress.Decide(now);
  if (m_is_over || verdict == GatherVerdict::kWait) {
    return;
  }
  StopParts(now);
  Answer(verdict == GatherVerdict::kAnswer ? MakeMergedAnswer()
                                           : MakeFailure(now));
}

void GatherRun::WaitForTimer() {
  if (m_is_over) {
    return;
  }
  const TimePoint now = BootClock().Now();
  TimePoint next = m_progress.NextDecisionAt(now);
  for (const auto& part : m_parts) {
    next = std::min(next, part->NextWakeAt());
  }
  m_timer.expires_after(std::max(next - now, Duration::zero()));
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
          self->OnTimer();
        }
      });
}

void GatherRun::OnTimer() {
  if (m_is_over) {
    return;
  }
  const TimePoint now = BootClock().Now();
  for (const auto& part : m_parts) {
    part->Wake(now);
  }
  Conclude();
  WaitForTimer();
}

CallerAnswer GatherRun::MakeMergedAnswer() const {
  const HeaderNames& headers = m_context.m_settings.m_headers;
  RecordMerge merge;
  std::string signatures;
  for (const auto& part : m_answers) {
    if (!part) {
      continue;
    }
    merge.Add(part->body());
    signatures.append(signatures.empty() ? "" : ", ")
        .append(FieldOf(*part, headers.m_signature));
  }
  CallerAnswer answer;
  answer.m_status = 200;
  answer.AddField(headers.m_request_id, m_call->m_request_id);
  answer.AddField(headers.m_part_signatures, signatures);
  answer.AddField(headers.m_missing_parts,
                  fmt::to_string(m_progress.Missing()));
  answer.m_body = merge.Greatest(m_call->m_route->m_gather.m_top_count);
  return answer;
}

CallerAnswer GatherRun::MakeFailure(TimePoint now) const {
  const bool may_have_run =
      m_progress.Covered() > 0 ||
      std::any_of(m_parts.begin(), m_parts.end(),
                  [](const auto& part) { return part->MayHaveRun(); });
  return may_have_run ? MakeLostAnswer(*m_call, now)
                      : MakeUnservedAnswer(*m_call, now);
}

void GatherRun::StopParts(TimePoint now) {
  for (const auto& part : m_parts) {
    if (!part->IsOver()) {
      part->Stop(now);
    }
  }
}

void GatherRun::CallerLeft() {
  const TimePoint now = BootClock().Now();
  m_is_over = true;
  m_timer.cancel();
  StopParts(now);
  RecordFinished(m_context, {*m_call, m_parts, 0, m_progress.Missing()}, now);
}

void GatherRun::Answer(CallerAnswer answer) {
  JR_CHECK(!m_is_over);
  m_is_over = true;
  m_timer.cancel();
  RecordFinished(m_context,
                 {*m_call, m_parts, answer.m_status, m_progress.Missing()},
                 BootClock().Now());
  const AnswerHandler handler = std::move(m_handler);
  handler(std::move(answer));
}

}  // namespace jackdawrack
