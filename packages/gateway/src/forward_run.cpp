#include "forward_run.h"

#include <algorithm>

#include "core/check.h"
#include "request_log.h"

namespace jackdawrack {
namespace {

// Converts the upstream's response for the caller, without hop-by-hop fields.
CallerAnswer Relay(UpstreamAnswer answer) {
  CallerAnswer relayed;
  relayed.m_status = answer.result_int();
  const auto nominated = answer[boost::beast::http::field::connection];
  for (const auto& field : answer) {
    const std::string_view name(field.name_string().data(),
                                field.name_string().size());
    if (!IsHopField(name, {nominated.data(), nominated.size()})) {
      relayed.AddField(name, {field.value().data(), field.value().size()});
    }
  }
  relayed.m_body = std::move(answer.body());
  return relayed;
}

}  // namespace

ForwardRun::ForwardRun(const RunContext& context,
                       std::shared_ptr<const CallerCall> call,
                       ServiceName service,
                       AnswerHandler handler)
    : m_context(context),
      m_call(std::move(call)),
      m_service(std::move(service)),
      m_handler(std::move(handler)),
      m_timer(context.m_io) {}

void ForwardRun::Start() {
  m_part = std::make_shared<PartRun>(
      m_context, m_call, m_service,
      [weak = weak_from_this()](PartResult result) {
        if (const auto self = weak.lock()) {
          self->OnEnd(std::move(result));
        }
      },
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr && self->m_is_started) {
          self->WaitForTimer();
        }
      });
  m_part->Start();
  m_is_started = true;
  WaitForTimer();
}

void ForwardRun::WaitForTimer() {
  if (m_is_over) {
    return;
  }
  const TimePoint now = BootClock().Now();
  const TimePoint next = std::min(m_call->m_final_at, m_part->NextWakeAt());
  m_timer.expires_after(std::max(next - now, Duration::zero()));
  m_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
          self->OnTimer();
        }
      });
}

void ForwardRun::OnTimer() {
  const TimePoint now = BootClock().Now();
  if (m_is_over) {
    return;
  }
  if (now < m_call->m_final_at) {
    m_part->Wake(now);
    WaitForTimer();
    return;
  }
  m_part->Stop(now);
  Answer(m_part->MayHaveRun() ? MakeLostAnswer(*m_call, now)
                              : MakeUnservedAnswer(*m_call, now));
}

void ForwardRun::OnEnd(PartResult result) {
  const TimePoint now = BootClock().Now();
  if (result.m_answer) {
    Answer(Relay(std::move(*result.m_answer)));
  } else if (result.m_end == PartEnd::kNotRun) {
    Answer(MakeUnservedAnswer(*m_call, now));
  } else {
    Answer(MakeLostAnswer(*m_call, now));
  }
}

void ForwardRun::CallerLeft() {
  const TimePoint now = BootClock().Now();
  m_is_over = true;
  m_timer.cancel();
  m_part->Stop(now);
  RecordFinished(m_context, {*m_call, {&m_part, 1}, 0, 0}, now);
}

void ForwardRun::Answer(CallerAnswer answer) {
  JR_CHECK(!m_is_over);
  m_is_over = true;
  m_timer.cancel();
  RecordFinished(m_context, {*m_call, {&m_part, 1}, answer.m_status, 0},
                 BootClock().Now());
  const AnswerHandler handler = std::move(m_handler);
  handler(std::move(answer));
}

}  // namespace jackdawrack
