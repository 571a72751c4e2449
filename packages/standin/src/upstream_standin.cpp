#include "standin/upstream_standin.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>

#include "core/clock.h"
#include "model/range_set.h"
#include "net/json.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kQueuePerSlot = 64;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;

}  // namespace

class UpstreamStandin::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, UpstreamStandinSettings settings)
      : m_settings(std::move(settings)),
        m_strand(asio::make_strand(context)),
        m_server(context,
                 MakeServerSettings(m_settings),
                 [this](HttpRequest request, HttpServer::ReplyCallback reply) {
                   asio::post(m_strand, [this, request = std::move(request),
                                         reply = std::move(reply)] {
                     Handle(request, reply);
                   });
                 }) {}

  NetResult<void> Start() { return m_server.Start(); }

 private:
  struct Work {
    json::object m_body;
    HttpServer::ReplyCallback m_reply;
    bool m_is_query = true;
  };

  static HttpServerSettings MakeServerSettings(
      const UpstreamStandinSettings& settings) {
    HttpServerSettings server;
    server.m_endpoint = settings.m_upstream.m_endpoint;
    server.m_max_connections = settings.m_upstream.m_connection_limit;
    server.m_accept_delay = Milliseconds(settings.m_upstream.m_connect_cost_ms);
    return server;
  }

  void Handle(const HttpRequest& request,
              const HttpServer::ReplyCallback& reply) {
    if (request.m_target == "/control/set") {
      Set(request);
      reply(Json(200, json::object{{"ok", true}}));
      return;
    }
    if (request.m_target == "/control/counts") {
      reply(Counts());
      return;
    }
    if (request.m_target == "/v1/state") {
      reply(Json(200, json::object{}));
      return;
    }
    auto body = ParseJsonObject(request.m_body);
    if (!body) {
      reply(Json(400, json::object{{"executed", "no"}}));
      return;
    }
    if (request.m_target == "/v1/cancel") {
      Cancel(JsonText(*body, "call"));
      reply(Json(200, json::object{{"ok", true}}));
      return;
    }
    Admit(Work{std::move(*body), reply, request.m_target == "/v1/query"});
  }

  void Admit(Work work) {
    if (m_swallow > 0) {
      --m_swallow;
      m_swallowed.push_back(std::move(work));
      return;
    }
    const bool is_full = m_queue.size() >= kQueuePerSlot * Slots();
    if (m_is_draining || m_is_shedding || is_full) {
      ++m_refused;
      work.m_reply(Json(kUnavailable, json::object{{"executed", "no"}}));
      return;
    }
    if (m_running >= Slots()) {
      ++m_slot_overflows;
    }
    m_queue.push_back(std::move(work));
    StartWhatFits();
  }

  void StartWhatFits() {
    while (m_running < Slots() && !m_queue.empty()) {
      ++m_running;
      auto work = std::make_shared<Work>(std::move(m_queue.front()));
      m_queue.pop_front();
      auto timer = std::make_shared<asio::steady_timer>(m_strand);
      timer->expires_after(m_settings.m_service_time);
      timer->async_wait([this, work, timer](auto) {
        --m_running;
        work->m_reply(work->m_is_query ? RunQuery(work->m_body)
                                       : RunExecute(work->m_body));
        StartWhatFits();
      });
    }
  }

  void Cancel(const std::string& call) {
    ++m_cancels;
    for (auto work = m_queue.begin(); work != m_queue.end(); ++work) {
      if (JsonText(work->m_body, "call") == call) {
        work->m_reply(Json(kUnavailable, json::object{{"executed", "no"}}));
        m_queue.erase(work);
        return;
      }
    }
  }

  HttpReply RunQuery(const json::object& body) {
    ++m_queries;
    const std::uint64_t version = JsonNumber(body, "version");
    const auto& versions = m_settings.m_index_versions;
    if (std::find(versions.begin(), versions.end(), version) ==
        versions.end()) {
      return Json(kConflict, json::object{{"executed", "no"}});
    }
    if (!HoldsAll(body.at("ranges").as_array())) {
      return Json(kMisdirected, json::object{{"executed", "no"}});
    }
    json::array rows;
    for (const json::value& range : body.at("ranges").as_array()) {
      rows.push_back(json::string(
          fmt::format("{}-{}@{}:{}", range.at(0).to_number<std::uint64_t>(),
                      range.at(1).to_number<std::uint64_t>(), version,
                      JsonText(body, "body"))));
    }
    return Json(200, json::object{{"version", version},
                                  {"ranges", body.at("ranges")},
                                  {"rows", std::move(rows)}});
  }

  // True if nothing was said of what it holds, or all of it is held.
  [[nodiscard]] bool HoldsAll(const json::array& ranges) const {
    for (const json::value& range : ranges) {
      if (!m_held.IsEmpty() && !m_held.Covers(ToRange(range))) {
        return false;
      }
    }
    return true;
  }

  static KeyRange ToRange(const json::value& range) {
    return KeyRange{range.at(0).to_number<std::uint64_t>(),
                    range.at(1).to_number<std::uint64_t>()};
  }

  HttpReply RunExecute(const json::object& body) {
    // Refuse what comes too late to be run
    const auto not_after =
        static_cast<UnixMs>(JsonNumber(body, "not_after_ms"));
    if (SteadyClock().WallNowMs() > not_after) {
      ++m_expired;
      return Json(kGone, json::object{{"executed", "no"}});
    }
    const std::string key = JsonText(body, "key");
    ++m_executions[key];
    return Json(200,
                json::object{{"executed", "yes"}, {"result", "done:" + key}});
  }

  void Set(const HttpRequest& request) {
    const auto body = ParseJsonObject(request.m_body);
    if (!body) {
      return;
    }
    if (body->contains("service_ms")) {
      m_settings.m_service_time = Milliseconds(JsonNumber(*body, "service_ms"));
    }
    if (body->contains("draining")) {
      m_is_draining = JsonNumber(*body, "draining") != 0;
    }
    if (body->contains("shedding")) {
      m_is_shedding = JsonNumber(*body, "shedding") != 0;
    }
    if (body->contains("swallow")) {
      m_swallow = JsonNumber(*body, "swallow");
    }
    if (const auto* held = body->if_contains("holds")) {
      m_held = RangeSet();
      for (const json::value& range : held->as_array()) {
        m_held.Add(ToRange(range));
      }
    }
    if (const auto* versions = body->if_contains("versions")) {
      m_settings.m_index_versions.clear();
      for (const json::value& version : versions->as_array()) {
        m_settings.m_index_versions.push_back(
            version.to_number<std::uint64_t>());
      }
    }
  }

  HttpReply Counts() const {
    json::object executions;
    for (const auto& [key, count] : m_executions) {
      executions[key] = count;
    }
    return Json(200, json::object{{"queries", m_queries},
                                  {"refused", m_refused},
                                  {"cancels", m_cancels},
                                  {"expired", m_expired},
                                  {"slot_overflows", m_slot_overflows},
                                  {"connections", m_server.OpenConnections()},
                                  {"executions", std::move(executions)}});
  }

  [[nodiscard]] HttpReply Json(unsigned status, json::object body) const {
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.push_back(
        {"X-Upstream-State", m_is_draining ? "draining" : "live"});
    reply.m_headers.push_back(
        {"X-Index-Versions",
         fmt::format("{}", fmt::join(m_settings.m_index_versions, " "))});
    reply.m_body = json::serialize(body);
    return reply;
  }

  [[nodiscard]] std::uint32_t Slots() const {
    return m_settings.m_upstream.m_slots;
  }

  UpstreamStandinSettings m_settings;
  asio::strand<asio::io_context::executor_type> m_strand;
  bool m_is_draining = false;
  bool m_is_shedding = false;
  /// Requests to be left without any reply.
  std::uint64_t m_swallow = 0;
  std::vector<Work> m_swallowed;
  /// Ranges that it holds; empty if it holds whatever it is asked for.
  RangeSet m_held;
  std::uint32_t m_running = 0;
  std::deque<Work> m_queue;
  std::map<std::string, std::uint64_t> m_executions;
  std::uint64_t m_queries = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_cancels = 0;
  std::uint64_t m_expired = 0;
  std::uint64_t m_slot_overflows = 0;
  HttpServer m_server;
};

UpstreamStandin::UpstreamStandin(asio::io_context& context,
                                 UpstreamStandinSettings settings)
    : m_impl(std::make_shared<Impl>(context, std::move(settings))) {}

UpstreamStandin::~UpstreamStandin() = default;

NetResult<void> UpstreamStandin::Start() {
  return m_impl->Start();
}

}  // namespace jackdawrack
