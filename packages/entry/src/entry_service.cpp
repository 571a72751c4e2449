#include "entry/entry_service.h"

#include <fmt/format.h>

#include "admission_table.h"
#include "caller_codec.h"
#include "core/event.h"
#include "query_run.h"
#include "request_recorder.h"
#include "request_run.h"
#include "share_borrower.h"

namespace jackdawrack {
namespace {

/// Maximum time that readiness waits for this instance's base share of the
/// contracts.
constexpr Milliseconds kMaxBaseShareWait{6000};

EntryError MakeRefusal(EntryErrc code, std::string message) {
  return MakeError(code, std::move(message));
}

// True if the answer holds for every send of the request's idempotency key.
// A retryable "not run" does not: it is not from the key's lease holder, and
// proves only that this send did not run, not that no earlier one did.
bool IsConclusiveForKey(const RunAnswer& answer) {
  return answer.m_outcome != Outcome::kNotRun || !answer.m_is_retryable;
}

}  // namespace

class EntryService::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& context,
       EntrySettings settings,
       const FleetViewHolder& holder,
       PeerRouter& router,
       MetricsRegistry& metrics)
      : m_context(context),
        m_settings(std::move(settings)),
        m_holder(holder),
        m_router(router),
        m_metrics(metrics),
        m_query_state(m_settings.m_query_policy, metrics),
        m_recorder(metrics),
        m_admission(m_settings.m_instance),
        m_borrower(std::make_shared<ShareBorrower>(context,
                                                   m_settings.m_instance,
                                                   m_settings.m_domain,
                                                   holder,
                                                   router,
                                                   m_admission)) {}

  void Start() { m_borrower->Start(); }

  bool IsReady() {
    const TimePoint now = SteadyClock().Now();
    return m_admission.IsBaseShareUsable(now) ||
           now - m_created_at > kMaxBaseShareWait;
  }

  ShareGrants Lend(const InstanceId& borrower,
                   const std::vector<ShareWish>& wishes) {
    return m_admission.Lend(borrower, wishes, m_holder.Get()->State(),
                            SteadyClock().Now());
  }

  void Handle(const HttpRequest& request, const HttpServer::Reply& reply) {
    if (request.m_method == "POST" && request.m_target == "/v1/query") {
      HandleQuery(request, reply);
    } else if (request.m_method == "POST" &&
               request.m_target == "/v1/request") {
      HandleRequest(request, reply);
    } else {
      Refuse(MakeRefusal(EntryErrc::kNotFound,
                         "accepted are POST /v1/query and POST /v1/request"),
             reply);
    }
  }

  [[nodiscard]] std::optional<std::string> Explain(RequestId request) const {
    return m_recorder.Explain(request);
  }

 private:
  /// The fleet view, contract and collection map that apply to a request.
  struct ResolvedRequest {
    std::shared_ptr<const FleetView> m_view;
    std::shared_ptr<const Contract> m_contract;
    std::shared_ptr<const CollectionMap> m_collection;
  };

  EntryResult<ResolvedRequest> ResolveRequest(const Customer& customer,
                                              const std::string& kind_name,
                                              bool is_query) const {
    ResolvedRequest resolved;
    resolved.m_view = m_holder.Get();
    const FleetState& state = resolved.m_view->State();
    if (state.m_contracts.empty()) {
      return MakeRefusal(EntryErrc::kNotReady, "no configuration yet");
    }
    resolved.m_contract = state.FindContract(customer);
    if (resolved.m_contract == nullptr) {
      return MakeRefusal(
          EntryErrc::kUnknownCustomer,
          fmt::format("no contract for customer '{}'", customer.Text()));
    }
    const RequestKind* kind = resolved.m_contract->FindKind(kind_name);
    if (kind == nullptr) {
      return MakeRefusal(
          EntryErrc::kUnknownKind,
          fmt::format("the contract has no kind '{}'", kind_name));
    }
    if (kind->m_idempotent != is_query) {
      return MakeRefusal(EntryErrc::kWrongKind,
                         fmt::format("kind '{}' belongs to {}", kind_name,
                                     is_query ? "/v1/request" : "/v1/query"));
    }
    resolved.m_collection = state.FindCollection(kind->m_collection);
    if (resolved.m_collection == nullptr) {
      return MakeRefusal(
          EntryErrc::kUnknownCollection,
          fmt::format("no map of collection '{}'", kind->m_collection.Text()));
    }
    return resolved;
  }

  void HandleQuery(const HttpRequest& request, const HttpServer::Reply& reply) {
    auto query = DecodeCallerQuery(request, m_settings);
    if (!query) {
      Refuse(query.error(), reply);
      return;
    }
    const Customer customer = query.assume_value().m_customer;
    const auto resolved =
        ResolveRequest(customer, query.assume_value().m_kind, true);
    if (!resolved) {
      RefuseForCustomer(customer, resolved.error(), reply);
      return;
    }
    const auto admitted = Admit(*resolved.assume_value().m_contract);
    if (!admitted) {
      RefuseForCustomer(customer, admitted.error(), reply);
      return;
    }
    QueryRunSpec spec;
    spec.m_request = NextRequestId();
    spec.m_query = std::move(query).assume_value();
    spec.m_contract = resolved.assume_value().m_contract;
    spec.m_collection = resolved.assume_value().m_collection;
    spec.m_domain = m_settings.m_domain;
    spec.m_started = SteadyClock().Now();
    const auto trace =
        m_recorder.Begin(spec.m_request, customer, spec.m_query.m_kind);
    spec.m_trace = trace;
    spec.m_direct_self = m_settings.m_direct_self;
    std::make_shared<QueryRun>(
        m_context, m_router, m_holder, m_query_state, std::move(spec),
        [self = shared_from_this(), trace, reply](const QueryAnswer& answer) {
          self->m_admission.Release(trace->Record().m_customer);
          self->m_recorder.FinishQuery(*trace, answer);
          reply(EncodeQueryAnswer(answer));
        })
        ->Start();
  }

  void HandleRequest(const HttpRequest& request,
                     const HttpServer::Reply& reply) {
    const bool is_resend = IsResend(request);
    auto decoded = DecodeCallerRequest(request, m_settings);
    if (!decoded) {
      Refuse(decoded.error(), reply, is_resend);
      return;
    }
    const CallerRequest& caller = decoded.assume_value();
    const auto resolved =
        ResolveRequest(caller.m_customer, caller.m_kind, false);
    if (!resolved) {
      RefuseForCustomer(caller.m_customer, resolved.error(), reply, is_resend);
      return;
    }
    const ResolvedRequest& found = resolved.assume_value();
    const auto admitted = Admit(*found.m_contract);
    if (!admitted) {
      RefuseForCustomer(caller.m_customer, admitted.error(), reply, is_resend);
      return;
    }
    RunRequest run;
    run.m_call = CallId{NextRequestId(), 0};
    run.m_customer = caller.m_customer;
    run.m_collection = found.m_collection->Name();
    run.m_kind = caller.m_kind;
    run.m_idempotency_key = caller.m_idempotency_key;
    run.m_shard_key = KeyOf(caller.m_key);
    run.m_body = caller.m_body;
    run.m_remaining_ms = found.m_contract->DeadlineMs();
    const auto trace =
        m_recorder.Begin(run.m_call.m_request, run.m_customer, run.m_kind);
    std::make_shared<RequestRun>(
        m_context, m_router, m_holder, m_suspects, std::move(run), trace,
        [self = shared_from_this(), trace, reply, is_resend](RunAnswer answer) {
          self->m_admission.Release(trace->Record().m_customer);
          if (is_resend && !IsConclusiveForKey(answer)) {
            answer.m_outcome = Outcome::kUnknown;
          }
          self->m_recorder.FinishRun(*trace, answer);
          reply(EncodeRunAnswer(answer));
        })
        ->Start();
  }

  // Admits a request if the customer is within its contract's limits. A refused
  // request has not been executed.
  EntryResult<void> Admit(const Contract& contract) {
    switch (m_admission.Admit(contract, SteadyClock().Now())) {
      case AdmissionVerdict::kAdmitted:
        return boost::outcome_v2::success();
      case AdmissionVerdict::kOverRate:
        return MakeRefusal(EntryErrc::kOverLimit,
                           "over the contract's rate_per_second");
      case AdmissionVerdict::kOverConcurrency:
        return MakeRefusal(EntryErrc::kOverLimit,
                           "over the contract's concurrency");
    }
    return MakeRefusal(EntryErrc::kOverLimit, "over the contract");
  }

  void Refuse(const EntryError& error,
              const HttpServer::Reply& reply,
              bool is_resend = false) {
    m_metrics
        .CounterFor("jackdawrack_refusals",
                    fmt::format("error=\"{}\"", EntryErrorName(error.m_code)))
        .Add();
    LogEvent(EventId::kRequestRefused, "error={} message={}",
             EntryErrorName(error.m_code), error.m_message);
    reply(EncodeError(error, is_resend));
  }

  // Refuses a request and counts the refusal for the customer.
  void RefuseForCustomer(const Customer& customer,
                         const EntryError& error,
                         const HttpServer::Reply& reply,
                         bool is_resend = false) {
    m_recorder.CountRefusal(customer, error.m_code);
    Refuse(error, reply, is_resend);
  }

  RequestId NextRequestId() {
    return RequestId{m_settings.m_epoch, ++m_last_request};
  }

  boost::asio::io_context& m_context;
  const EntrySettings m_settings;
  const FleetViewHolder& m_holder;
  PeerRouter& m_router;
  MetricsRegistry& m_metrics;
  SharedQueryState m_query_state;
  RequestRecorder m_recorder;
  const TimePoint m_created_at = SteadyClock().Now();
  AdmissionTable m_admission;
  std::shared_ptr<ShareBorrower> m_borrower;
  SuspectList m_suspects;
  std::atomic<std::uint64_t> m_last_request{0};
};

EntryService::EntryService(boost::asio::io_context& context,
                           EntrySettings settings,
                           const FleetViewHolder& holder,
                           PeerRouter& router,
                           MetricsRegistry& metrics)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(settings),
                                    holder,
                                    router,
                                    metrics)) {}

EntryService::~EntryService() = default;

void EntryService::Handle(const HttpRequest& request, HttpServer::Reply reply) {
  m_impl->Handle(request, std::move(reply));
}

std::optional<std::string> EntryService::Explain(RequestId request) const {
  return m_impl->Explain(request);
}

void EntryService::Start() {
  m_impl->Start();
}

bool EntryService::IsReady() const {
  return m_impl->IsReady();
}

ShareGrants EntryService::Lend(const InstanceId& borrower,
                               const std::vector<ShareWish>& wishes) {
  return m_impl->Lend(borrower, wishes);
}

}  // namespace jackdawrack
