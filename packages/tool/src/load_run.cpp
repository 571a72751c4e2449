#include "tool/load_run.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>

#include "core/check.h"
#include "load_mix.h"
#include "net/http_client.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

LoadRow MakeRow(std::string name,
                const LoadStatistics& statistics,
                double duration_s) {
  LoadRow row;
  row.m_name = std::move(name);
  row.m_counts = statistics.Counts();
  row.m_latency = statistics.Latency();
  row.m_per_second =
      duration_s > 0 ? static_cast<double>(row.m_counts.m_complete) / duration_s
                     : 0;
  return row;
}

}  // namespace

class LoadRun::Impl final {
 public:
  explicit Impl(LoadSettings settings)
      : m_settings(std::move(settings)),
        m_mix(m_settings),
        m_timer(m_context),
        m_by_kind(m_settings.m_kinds.size()) {
    JR_CHECK(!m_settings.m_targets.empty());
    JR_CHECK(m_settings.m_rate > 0 || m_settings.m_clients > 0);
  }

  LoadReport Run() {
    m_started = SteadyClock().Now();
    m_counted_from = m_started + m_settings.m_warmup;
    m_ends = m_counted_from + m_settings.m_duration;
    if (m_settings.m_rate > 0) {
      m_next_arrival = m_started;
      ScheduleArrival();
    } else {
      for (std::size_t i = 0; i < m_settings.m_clients; ++i) {
        Arrive(SteadyClock().Now());
      }
    }
    m_context.run();
    return MakeReport();
  }

 private:
  /// One connection and the position of its target.
  struct Connection {
    Connection(asio::io_context& context,
               HttpClientSettings settings,
               std::size_t target)
        : m_client(context, std::move(settings)), m_target(target) {}

    HttpClient m_client;
    const std::size_t m_target;
  };

  /// One request that was planned.
  struct Arrival {
    std::uint64_t m_number = 0;
    std::size_t m_kind = 0;
    TimePoint m_planned{};
  };

  void ScheduleArrival() {
    m_next_arrival += m_mix.NextGap();
    if (m_next_arrival >= m_ends || m_arrivals >= m_settings.m_max_requests) {
      return;
    }
    m_timer.expires_at(m_next_arrival);
    m_timer.async_wait([this](auto error) {
      if (!error) {
        Arrive(m_next_arrival);
        ScheduleArrival();
      }
    });
  }

  void Arrive(TimePoint planned) {
    Arrival arrival;
    arrival.m_number = ++m_arrivals;
    arrival.m_kind = m_mix.NextKind();
    arrival.m_planned = planned;
    if (auto connection = TakeConnection(arrival.m_number)) {
      Send(arrival, std::move(connection));
    } else {
      m_waiting.push_back(arrival);
    }
  }

  // A connection to the target whose turn it is, or any free one once no
  // more may be opened.
  std::shared_ptr<Connection> TakeConnection(std::uint64_t number) {
    const std::size_t turn = number % m_settings.m_targets.size();
    if (auto connection = TakeIdle(turn)) {
      return connection;
    }
    if (m_connections < MaxConnections()) {
      ++m_connections;
      HttpClientSettings settings;
      settings.m_endpoint = m_settings.m_targets[turn];
      return std::make_shared<Connection>(m_context, settings, turn);
    }
    for (std::size_t i = 0; i < m_settings.m_targets.size(); ++i) {
      if (auto connection = TakeIdle(i)) {
        return connection;
      }
    }
    return nullptr;
  }

  std::shared_ptr<Connection> TakeIdle(std::size_t target) {
    auto& idle = m_idle[target];
    if (idle.empty()) {
      return nullptr;
    }
    std::shared_ptr<Connection> connection = std::move(idle.back());
    idle.pop_back();
    return connection;
  }

  [[nodiscard]] std::size_t MaxConnections() const {
    return m_settings.m_rate > 0
               ? m_settings.m_max_connections
               : m_settings.m_clients * m_settings.m_targets.size();
  }

  void Send(const Arrival& arrival, std::shared_ptr<Connection> connection) {
    HttpClient& client = connection->m_client;
    client.Send(m_mix.MakeRequest(arrival.m_kind, arrival.m_number,
                                  SteadyClock().WallNowMs()),
                m_settings.m_timeout,
                [this, arrival, connection = std::move(connection)](
                    const NetResult<HttpReply>& reply) {
                  asio::post(m_context, [this, arrival, connection, reply] {
                    OnReply(arrival, connection, reply);
                  });
                });
  }

  void OnReply(const Arrival& arrival,
               const std::shared_ptr<Connection>& connection,
               const NetResult<HttpReply>& reply) {
    const TimePoint now = SteadyClock().Now();
    Count(arrival, JudgeReply(reply), now);
    GiveBack(connection, now);
    const bool is_closed_loop = m_settings.m_rate <= 0;
    if (is_closed_loop && now < m_ends &&
        m_arrivals < m_settings.m_max_requests) {
      Arrive(now);
    }
  }

  // Gives the connection to what waits for one, or keeps it.
  void GiveBack(const std::shared_ptr<Connection>& connection, TimePoint now) {
    if (!m_waiting.empty() && now < m_ends) {
      const Arrival next = m_waiting.front();
      m_waiting.pop_front();
      Send(next, connection);
      return;
    }
    m_idle[connection->m_target].push_back(connection);
  }

  void Count(const Arrival& arrival, const LoadReply& reply, TimePoint now) {
    if (arrival.m_planned < m_counted_from) {
      return;
    }
    const Duration latency = now - arrival.m_planned;
    m_total.Record(reply, latency);
    m_by_kind[arrival.m_kind].Record(reply, latency);
    const auto second =
        static_cast<std::size_t>(Seconds(arrival.m_planned - m_counted_from));
    if (second >= m_seconds.size()) {
      m_seconds.resize(second + 1);
    }
    m_seconds[second].Record(reply, latency);
  }

  [[nodiscard]] LoadReport MakeReport() const {
    LoadReport report;
    report.m_duration_s =
        Seconds(std::min(m_ends, SteadyClock().Now()) - m_counted_from);
    report.m_seed = m_settings.m_seed;
    report.m_arrivals = m_arrivals;
    report.m_unsent = m_waiting.size();
    for (std::size_t i = 0; i < m_by_kind.size(); ++i) {
      report.m_rows.push_back(MakeRow(m_settings.m_kinds[i].m_name,
                                      m_by_kind[i], report.m_duration_s));
    }
    report.m_rows.push_back(MakeRow("all", m_total, report.m_duration_s));
    for (std::size_t i = 0; i < m_seconds.size(); ++i) {
      report.m_seconds.push_back(
          MakeRow(fmt::format("{}", i), m_seconds[i], 1));
    }
    return report;
  }

  asio::io_context m_context{1};
  const LoadSettings m_settings;
  LoadMix m_mix;

  // Pace
  asio::steady_timer m_timer;
  TimePoint m_started{};
  TimePoint m_counted_from{};
  TimePoint m_ends{};
  TimePoint m_next_arrival{};
  std::uint64_t m_arrivals = 0;

  // Connections, by position of their target
  std::map<std::size_t, std::vector<std::shared_ptr<Connection>>> m_idle;
  std::size_t m_connections = 0;
  std::deque<Arrival> m_waiting;

  // Results
  LoadStatistics m_total;
  std::vector<LoadStatistics> m_by_kind;
  std::vector<LoadStatistics> m_seconds;
};

LoadRun::LoadRun(LoadSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings))) {}

LoadRun::~LoadRun() = default;

LoadReport LoadRun::Run() {
  return m_impl->Run();
}

}  // namespace jackdawrack
