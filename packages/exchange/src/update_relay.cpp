#include "exchange/update_relay.h"

#include <algorithm>

#include "core/boot_clock.h"
#include "core/event.h"
#include "core/run_logged.h"

namespace jackdawrack {
namespace {

constexpr const char* kContentType = "application/octet-stream";
constexpr unsigned kStatusBadRequest = 400;

}  // namespace

UpdateRelay::UpdateRelay(boost::asio::io_context& context,
                         const ChangeLog& log,
                         UpdateRelaySources sources)
    : m_log(log), m_sources(std::move(sources)), m_timer(context) {}

void UpdateRelay::HandlePoll(const HttpRequest& http_request,
                             const HttpServer::ReplyCallback& reply) {
  const auto request = DecodeUpdateRequest(http_request.m_body);
  if (!request) {
    LogEvent(EventId::kFrameRefused, "target={} bytes={}",
             http_request.m_target, http_request.m_body.size());
    HttpReply refusal;
    refusal.m_status = kStatusBadRequest;
    refusal.m_headers = {{"Connection", "close"}};
    reply(std::move(refusal));
    return;
  }
  const Milliseconds wait =
      std::clamp(request->m_wait, Milliseconds(0), kMaxWait);
  WaitingPoll poll{*request, BootClock().Now() + wait, reply};
  const bool is_behind = request->m_revision < m_log.Revision();
  if (is_behind || m_is_stopped || wait == Milliseconds(0) ||
      m_waiting.size() >= kMaxWaitingPolls) {
    Answer(poll);
    return;
  }
  m_waiting.push_back(std::move(poll));
  if (m_waiting.size() == 1) {
    ScheduleTimer();
  }
}

UpdateReply UpdateRelay::MakeReply(const UpdateRequest& request) const {
  UpdateReply reply;
  reply.m_serial = request.m_serial;
  reply.m_revision = m_log.Revision();
  reply.m_view_age = std::chrono::ceil<Milliseconds>(m_sources.m_view_age());
  reply.m_readers = m_sources.m_readers();
  if (request.m_revision >= m_log.Revision()) {
    return reply;
  }
  auto changes = m_log.ChangesAfter(request.m_revision);
  if (request.m_revision > 0 && changes) {
    reply.m_changes = std::move(changes->m_changes);
    return reply;
  }
  reply.m_snapshot = m_sources.m_make_snapshot();
  if (!reply.m_snapshot) {
    reply.m_revision = request.m_revision;
  }
  return reply;
}

void UpdateRelay::Answer(const WaitingPoll& poll) {
  HttpReply reply;
  reply.m_content_type = kContentType;
  reply.m_body = EncodeUpdateReply(MakeReply(poll.m_request));
  poll.m_reply(std::move(reply));
}

void UpdateRelay::OnLogChanged() {
  std::list<WaitingPoll> behind;
  for (auto poll = m_waiting.begin(); poll != m_waiting.end();) {
    const auto next = std::next(poll);
    if (poll->m_request.m_revision < m_log.Revision()) {
      behind.splice(behind.end(), m_waiting, poll);
    }
    poll = next;
  }
  for (const WaitingPoll& poll : behind) {
    Answer(poll);
  }
}

void UpdateRelay::Stop() {
  m_is_stopped = true;
  std::list<WaitingPoll> waiting;
  waiting.swap(m_waiting);
  for (const WaitingPoll& poll : waiting) {
    Answer(poll);
  }
}

void UpdateRelay::AnswerDue() {
  const TimePoint now = BootClock().Now();
  std::list<WaitingPoll> due;
  for (auto poll = m_waiting.begin(); poll != m_waiting.end();) {
    const auto next = std::next(poll);
    if (poll->m_answer_at <= now) {
      due.splice(due.end(), m_waiting, poll);
    }
    poll = next;
  }
  for (const WaitingPoll& poll : due) {
    Answer(poll);
  }
}

void UpdateRelay::ScheduleTimer() {
  if (m_waiting.empty()) {
    return;
  }
  const auto earliest =
      std::min_element(m_waiting.begin(), m_waiting.end(),
                       [](const WaitingPoll& a, const WaitingPoll& b) {
                         return a.m_answer_at < b.m_answer_at;
                       });
  m_timer.expires_after(std::max<Duration>(
      earliest->m_answer_at - BootClock().Now(), Duration::zero()));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      RunLogged("update polls", [this] { AnswerDue(); });
      ScheduleTimer();
    }
  });
}

}  // namespace jackdawrack
