#include "entry/entry_service.h"

#include <fmt/format.h>

#include "caller_codec.h"
#include "core/event.h"
#include "query_run.h"

namespace jackdawrack {
namespace {

EntryError Refusal(EntryErrc code, std::string message) {
  return MakeError(code, std::move(message));
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
        m_query_tables(m_settings.m_query_policy, metrics) {}

  void Handle(const HttpRequest& request, const HttpServer::Reply& reply) {
    if (request.m_method == "POST" && request.m_target == "/v1/query") {
      HandleQuery(request, reply);
    } else if (request.m_method == "POST" &&
               request.m_target == "/v1/request") {
      HandleRun(request, reply);
    } else {
      Refuse(Refusal(EntryErrc::kNotFound,
                     "accepted are POST /v1/query and POST /v1/request"),
             reply);
    }
  }

 private:
  /// The contract, kind and collection that a request falls under.
  struct Terms {
    std::shared_ptr<const FleetView> m_view;
    std::shared_ptr<const Contract> m_contract;
    std::shared_ptr<const CollectionMap> m_collection;
  };

  EntryResult<Terms> FindTerms(const Customer& customer,
                               const std::string& kind_name,
                               bool is_query) const {
    Terms terms;
    terms.m_view = m_holder.Get();
    const FleetState& state = terms.m_view->State();
    terms.m_contract = state.FindContract(customer);
    if (terms.m_contract == nullptr) {
      return Refusal(
          EntryErrc::kUnknownCustomer,
          fmt::format("no contract for customer '{}'", customer.Text()));
    }
    const RequestKind* kind = terms.m_contract->FindKind(kind_name);
    if (kind == nullptr) {
      return Refusal(EntryErrc::kUnknownKind,
                     fmt::format("the contract has no kind '{}'", kind_name));
    }
    if (kind->m_idempotent != is_query) {
      return Refusal(EntryErrc::kWrongKind,
                     fmt::format("kind '{}' belongs to {}", kind_name,
                                 is_query ? "/v1/request" : "/v1/query"));
    }
    terms.m_collection = state.FindCollection(kind->m_collection);
    if (terms.m_collection == nullptr) {
      return Refusal(
          EntryErrc::kUnknownCollection,
          fmt::format("no map of collection '{}'", kind->m_collection.Text()));
    }
    return terms;
  }

  void HandleQuery(const HttpRequest& request, const HttpServer::Reply& reply) {
    auto query = DecodeCallerQuery(request, m_settings);
    if (!query) {
      Refuse(query.error(), reply);
      return;
    }
    const Customer customer = query.assume_value().m_customer;
    const auto terms = FindTerms(customer, query.assume_value().m_kind, true);
    if (!terms) {
      Refuse(terms.error(), reply);
      return;
    }
    QueryRunSpec spec;
    spec.m_request = NextRequest();
    spec.m_query = std::move(query).assume_value();
    spec.m_contract = terms.assume_value().m_contract;
    spec.m_collection = terms.assume_value().m_collection;
    spec.m_domain = m_settings.m_domain;
    spec.m_started = SteadyClock().Now();
    std::make_shared<QueryRun>(m_context, m_router, m_holder, m_query_tables,
                               std::move(spec),
                               [self = shared_from_this(), customer,
                                reply](const QueryAnswer& answer) {
                                 self->CountQuery(customer, answer);
                                 reply(EncodeQueryAnswer(answer));
                               })
        ->Start();
  }

  void HandleRun(const HttpRequest& request, const HttpServer::Reply& reply) {
    auto decoded = DecodeCallerRequest(request, m_settings);
    if (!decoded) {
      Refuse(decoded.error(), reply);
      return;
    }
    const CallerRequest& caller = decoded.assume_value();
    const auto terms = FindTerms(caller.m_customer, caller.m_kind, false);
    if (!terms) {
      Refuse(terms.error(), reply);
      return;
    }
    const Terms& found = terms.assume_value();
    RunRequest run;
    run.m_call = CallId{NextRequest(), 1};
    run.m_customer = caller.m_customer;
    run.m_collection = found.m_collection->Name();
    run.m_kind = caller.m_kind;
    run.m_idempotency_key = caller.m_idempotency_key;
    run.m_shard_key = KeyOf(caller.m_key);
    run.m_body = caller.m_body;
    run.m_remaining_ms = found.m_contract->DeadlineMs();
    SendRun(found, std::move(run), reply);
  }

  // Sends the request to the owner in the failure domain of the shard's first
  // replica, so that every entry chooses the same owner.
  void SendRun(const Terms& terms,
               RunRequest run,
               const HttpServer::Reply& reply) {
    const CollectionMap& collection = *terms.m_collection;
    const std::size_t position = collection.ShardAt(run.m_shard_key);
    const Shard& shard = collection.Shards()[position];
    const Upstream& home = collection.Upstreams()[shard.m_replicas.front()];
    const Instance* owner = terms.m_view->Owners().OwnerOf(
        collection.Name(), collection.BlockOfShard(position), home.m_domain);
    if (owner == nullptr) {
      RunAnswer answer;
      answer.m_call = run.m_call;
      answer.m_outcome = Outcome::kNotRun;
      answer.m_reason = "no_owner";
      reply(EncodeRunAnswer(answer));
      return;
    }
    m_router.Send(*owner, std::move(run), [reply](const RunAnswer& answer) {
      reply(EncodeRunAnswer(answer));
    });
  }

  void Refuse(const EntryError& error, const HttpServer::Reply& reply) {
    m_metrics
        .CounterFor("jackdawrack_refusals",
                    fmt::format("error=\"{}\"", EntryErrorName(error.m_code)))
        .Add();
    LogEvent(EventId::kRequestRefused, "error={} message={}",
             EntryErrorName(error.m_code), error.m_message);
    reply(EncodeError(error));
  }

  void CountQuery(const Customer& customer, const QueryAnswer& answer) {
    const std::string label = fmt::format("customer=\"{}\"", customer.Text());
    m_metrics.HistogramFor("jackdawrack_query_ms", label).Record(answer.m_took);
    m_metrics.CounterFor("jackdawrack_queries", label).Add();
    if (!answer.m_missing.empty()) {
      m_metrics.CounterFor("jackdawrack_partial_queries", label).Add();
      LogEvent(EventId::kAnswerPartial, "request={} coverage={:.4f}",
               answer.m_request.ToText(), answer.m_coverage);
    }
  }

  RequestId NextRequest() {
    return RequestId{m_settings.m_epoch, ++m_last_request};
  }

  boost::asio::io_context& m_context;
  const EntrySettings m_settings;
  const FleetViewHolder& m_holder;
  PeerRouter& m_router;
  MetricsRegistry& m_metrics;
  QueryTables m_query_tables;
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

}  // namespace jackdawrack
