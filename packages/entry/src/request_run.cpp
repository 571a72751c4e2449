#include "request_run.h"

#include <algorithm>
#include <boost/asio/post.hpp>

#include "core/check.h"
#include "policy/witness_set.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kRetryDelay{30};

RunAnswer MakeUnknownAnswer(const RunRequest& request, const char* reason) {
  RunAnswer answer;
  answer.m_call = request.m_call;
  answer.m_outcome = Outcome::kUnknown;
  answer.m_reason = reason;
  return answer;
}

}  // namespace

RequestRun::RequestRun(asio::io_context& context,
                       PeerRouter& router,
                       const FleetViewHolder& holder,
                       SuspectList& suspects,
                       RunRequest request,
                       std::shared_ptr<RequestTrace> trace,
                       DoneHandler on_done)
    : m_router(router),
      m_holder(holder),
      m_suspects(suspects),
      m_strand(asio::make_strand(context)),
      m_deadline_timer(m_strand),
      m_retry_timer(m_strand),
      m_request(std::move(request)),
      m_deadline(SteadyClock().Now() + Milliseconds(m_request.m_remaining_ms)),
      m_trace(std::move(trace)),
      m_on_done(std::move(on_done)),
      m_last_answer(MakeUnknownAnswer(m_request, "no_owner")) {}

void RequestRun::Start() {
  asio::post(m_strand, [self = shared_from_this()] {
    self->m_deadline_timer.expires_at(self->m_deadline);
    self->m_deadline_timer.async_wait([self](auto error) {
      if (!error) {
        self->OnDeadline();
      }
    });
    self->SendNext();
  });
}

void RequestRun::SendNext() {
  if (m_on_done == nullptr) {
    return;
  }
  const auto view = m_holder.Get();
  const Instance* target = ChooseTarget(*view);
  if (target == nullptr) {
    RetryLater();
    return;
  }
  ++m_request.m_call.m_attempt;
  m_request.m_remaining_ms = RemainingMs(SteadyClock().Now(), m_deadline);
  m_pending_target = target->m_id;
  m_tried.push_back(target->m_id);
  m_trace->RecordSend(target->m_id, 1, SteadyClock().Now());
  m_router.Send(
      *target, m_request,
      [self = shared_from_this(), id = target->m_id,
       attempt = m_request.m_call.m_attempt](RunAnswer answer) {
        asio::post(self->m_strand,
                   [self, id, attempt, answer = std::move(answer)]() mutable {
                     self->OnAnswer(id, attempt, std::move(answer));
                   });
      });
}

void RequestRun::OnAnswer(const InstanceId& target,
                          std::uint32_t attempt,
                          RunAnswer answer) {
  if (m_on_done == nullptr || attempt != m_request.m_call.m_attempt) {
    m_trace->CountLateReply();
    return;
  }
  m_pending_target.reset();
  m_trace->RecordRunAnswer(target, answer.m_outcome, answer.m_reason,
                           SteadyClock().Now());
  const bool is_unavailable = answer.m_reason == "owner_unreachable" ||
                              answer.m_reason == "owner_lost" ||
                              answer.m_reason == "owner_starting";
  if (is_unavailable) {
    m_suspects.Add(target, SteadyClock().Now());
  } else {
    m_suspects.Remove(target);
  }
  if (!answer.m_is_retryable) {
    Finish(std::move(answer));
    return;
  }

  // Send to the named lease holder, or to the next instance if this one is
  // unreachable or starting; otherwise retry after a delay
  m_last_answer = std::move(answer);
  m_holder_hint = m_last_answer.m_holder;
  const bool has_new_hint =
      !m_holder_hint.IsEmpty() && !WasTried(m_holder_hint);
  if (has_new_hint || is_unavailable) {
    SendNext();
  } else {
    RetryLater();
  }
}

void RequestRun::RetryLater() {
  m_tried.clear();
  m_retry_timer.expires_after(kRetryDelay);
  m_retry_timer.async_wait([self = shared_from_this()](auto error) {
    if (!error) {
      self->SendNext();
    }
  });
}

void RequestRun::OnDeadline() {
  if (m_on_done == nullptr) {
    return;
  }
  // The request may have run if its last call is unanswered
  if (m_pending_target) {
    m_suspects.Add(*m_pending_target, SteadyClock().Now());
    Finish(MakeUnknownAnswer(m_request, "timeout"));
    return;
  }
  Finish(m_last_answer);
}

void RequestRun::Finish(RunAnswer answer) {
  JR_CHECK(m_on_done != nullptr);
  m_deadline_timer.cancel();
  m_retry_timer.cancel();
  const DoneHandler on_done = std::exchange(m_on_done, nullptr);
  on_done(std::move(answer));
}

const Instance* RequestRun::ChooseTarget(const FleetView& view) const {
  if (!m_holder_hint.IsEmpty() && !WasTried(m_holder_hint)) {
    const Instance* hinted = view.State().FindInstance(m_holder_hint);
    if (hinted != nullptr) {
      return hinted;
    }
  }

  // Choose the first live instance in the key's holder order, suspects last
  std::vector<InstanceId> live;
  for (const Instance& instance : view.State().m_instances) {
    if (instance.m_state == InstanceState::kLive) {
      live.push_back(instance.m_id);
    }
  }
  const KeySlot slot =
      KeySlotOf(m_request.m_customer, m_request.m_idempotency_key);
  const std::vector<InstanceId> order = HolderOrder(slot, live);
  const TimePoint now = SteadyClock().Now();
  for (const bool allow_suspects : {false, true}) {
    for (const InstanceId& candidate : order) {
      if (!WasTried(candidate) &&
          (allow_suspects || !m_suspects.Contains(candidate, now))) {
        return view.State().FindInstance(candidate);
      }
    }
  }
  return nullptr;
}

bool RequestRun::WasTried(const InstanceId& instance) const {
  return std::find(m_tried.begin(), m_tried.end(), instance) != m_tried.end();
}

}  // namespace jackdawrack
