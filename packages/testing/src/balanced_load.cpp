#include "testing/balanced_load.h"

#include <fmt/format.h>

#include <future>

#include "core/worker_pool.h"
#include "net/http_client.h"
#include "tool/uuid.h"

namespace jackdawrack {
namespace {

constexpr Milliseconds kBalancerInterval{50};
constexpr Milliseconds kBetweenCalls{10};
constexpr Milliseconds kTimeout{10'000};

HttpRequest MakeQuery(std::uint64_t turn) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/query";
  request.m_body =
      fmt::format(R"({{"customer":"acme","kind":"look","body":"n{}"}})", turn);
  return request;
}

HttpRequest MakeBooking(std::uint64_t turn) {
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = "/v1/request";
  request.m_body = fmt::format(
      R"({{"customer":"acme","kind":"book","key":"lens-{}","body":"b"}})",
      turn);
  request.m_headers.push_back(
      {"Idempotency-Key", MakeUuidV7(SteadyClock().WallNowMs())});
  return request;
}

bool IsWhole(const HttpReply& reply) {
  const auto answer = ParseJsonObject(reply.m_body);
  if (reply.m_status != 200 || !answer) {
    return false;
  }
  const std::string outcome = JsonText(*answer, "outcome");
  return outcome == "complete" || outcome == "ran";
}

NetResult<HttpReply> CallKept(HttpClient& client, HttpRequest request) {
  std::promise<NetResult<HttpReply>> done;
  client.Send(std::move(request), kTimeout, [&](NetResult<HttpReply> reply) {
    done.set_value(std::move(reply));
  });
  return done.get_future().get();
}

}  // namespace

BalancedLoad::BalancedLoad(TestFleet& fleet, std::size_t clients)
    : m_fleet(fleet), m_rotation(fleet.InstanceNames()) {
  m_threads.emplace_back([this] { RunBalancer(); });
  for (std::size_t i = 0; i < clients; ++i) {
    m_threads.emplace_back([this, i] { RunClient(i); });
  }
}

BalancedLoad::~BalancedLoad() {
  Stop();
}

BalancedLoadResult BalancedLoad::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  return m_result;
}

void BalancedLoad::RunBalancer() {
  while (!m_stopping) {
    std::vector<std::string> ready;
    for (const std::string& instance : m_fleet.InstanceNames()) {
      if (m_fleet.Operator(instance, "/readyz").m_status == 200) {
        ready.push_back(instance);
      }
    }
    {
      const std::lock_guard lock(m_mutex);
      m_rotation = std::move(ready);
    }
    std::this_thread::sleep_for(kBalancerInterval);
  }
}

void BalancedLoad::RunClient(std::size_t number) {
  const bool keeps_connections = number % 2 == 0;
  WorkerPool workers(1);
  workers.Start();
  std::map<std::string, std::unique_ptr<HttpClient>> kept;
  for (std::uint64_t turn = number; !m_stopping; turn += 7) {
    const Target target = ChooseTarget(turn);
    const bool is_booking = turn % 3 == 0;
    HttpRequest request = is_booking ? MakeBooking(turn) : MakeQuery(turn);
    const std::string call =
        fmt::format("{} on a {} connection", is_booking ? "booking" : "query",
                    keeps_connections ? "kept" : "new");
    if (keeps_connections) {
      std::unique_ptr<HttpClient>& client = kept[target.m_instance];
      if (client == nullptr) {
        HttpClientSettings settings;
        settings.m_endpoint = target.m_endpoint;
        client = std::make_unique<HttpClient>(workers.Context(), settings);
      }
      Count(call, CallKept(*client, std::move(request)));
    } else {
      Count(call, CallHttp(target.m_endpoint, std::move(request), kTimeout));
    }
    std::this_thread::sleep_for(kBetweenCalls);
  }
  kept.clear();
  workers.Stop();
}

BalancedLoad::Target BalancedLoad::ChooseTarget(std::uint64_t turn) {
  Target target;
  {
    const std::lock_guard lock(m_mutex);
    target.m_instance = m_rotation[turn % m_rotation.size()];
  }
  target.m_endpoint = m_fleet.Callers(target.m_instance);
  return target;
}

void BalancedLoad::Count(const std::string& call,
                         const NetResult<HttpReply>& reply) {
  const std::lock_guard lock(m_mutex);
  ++m_result.m_calls;
  const bool is_whole = reply && IsWhole(reply.assume_value());
  if (is_whole) {
    ++m_result.m_whole;
    return;
  }
  if (reply) {
    ++m_result.m_not_served;
  } else if (reply.error().m_code == NetErrc::kNotSent) {
    ++m_result.m_refused_connections;
  } else {
    ++m_result.m_cut;
  }
  const std::string what =
      reply ? JsonText(ParseJsonObject(reply.assume_value().m_body)
                           .value_or(boost::json::object()),
                       "reason")
            : reply.error().m_message;
  ++m_result.m_problems[call + ": " + what];
}

}  // namespace jackdawrack
