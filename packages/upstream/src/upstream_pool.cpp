#include "upstream/upstream_pool.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <map>
#include <unordered_set>

#include "core/check.h"
#include "core/event.h"
#include "net/http_client.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxQueuedPerSlot = 200;

/// Connections beyond one a slot, for cancellations.
constexpr std::uint32_t kSpareConnections = 1;

/// Two owners can believe in the same upstream for a moment; each keeps to
/// this part of its connection limit.
constexpr std::uint32_t kConnectionShareDivisor = 3;

UpstreamError FromNet(const NetError& error) {
  switch (error.m_code) {
    case NetErrc::kNotSent:
      return MakeError(UpstreamErrc::kUnreachable, error.m_message);
    case NetErrc::kTimeout:
      return MakeError(UpstreamErrc::kTimeout, error.m_message);
    case NetErrc::kBroken:
      return MakeError(UpstreamErrc::kBroken, error.m_message);
    case NetErrc::kMalformed:
      return MakeError(UpstreamErrc::kMalformed, error.m_message);
  }
  return MakeError(UpstreamErrc::kBroken, error.m_message);
}

}  // namespace

class UpstreamPool::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, Upstream upstream)
      : m_context(context),
        m_upstream(std::move(upstream)),
        m_connection_share(std::max(
            1U,
            std::min(m_upstream.m_slots + kSpareConnections,
                     m_upstream.m_connection_limit / kConnectionShareDivisor))),
        m_strand(asio::make_strand(context)),
        m_queue_timer(m_strand) {}

  void Submit(std::string call,
              HttpRequest request,
              TimePoint deadline,
              ReplyHandler handler) {
    asio::post(m_strand, [self = shared_from_this(),
                          job = Job{std::move(call), std::move(request),
                                    deadline, std::move(handler)}]() mutable {
      self->Enqueue(std::move(job));
    });
  }

  void Cancel(std::string call, HttpRequest cancel_request) {
    asio::post(m_strand, [self = shared_from_this(), call = std::move(call),
                          cancel_request = std::move(cancel_request)] {
      self->CancelNow(call, cancel_request);
    });
  }

  void MarkDraining() {
    if (!m_draining.exchange(true)) {
      LogEvent(EventId::kUpstreamDraining, "upstream={}",
               m_upstream.m_id.Text());
    }
  }

  [[nodiscard]] UpstreamLoad Load() const {
    return UpstreamLoad{m_running, m_queued, m_draining};
  }

  [[nodiscard]] const Upstream& Target() const { return m_upstream; }

 private:
  struct Job {
    std::string m_call;
    HttpRequest m_request;
    TimePoint m_deadline;
    ReplyHandler m_handler;
  };

  using Queue = std::multimap<TimePoint, Job>;

  void Enqueue(Job job) {
    if (m_queue.size() >= kMaxQueuedPerSlot * m_upstream.m_slots) {
      job.m_handler(MakeError(UpstreamErrc::kNotStarted, "queue is full"));
      return;
    }
    const TimePoint deadline = job.m_deadline;
    m_queue.emplace(deadline, std::move(job));
    StartWhatFits();
  }

  void StartWhatFits() {
    FailExpired();
    while (!m_queue.empty() && m_running < m_upstream.m_slots) {
      std::shared_ptr<HttpClient> client = TakeConnection();
      if (client == nullptr) {
        break;
      }
      Job job = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
      Run(std::move(job), std::move(client));
    }
    m_queued = static_cast<std::uint32_t>(m_queue.size());
    ScheduleExpiry();
  }

  // Fails what waited past its deadline; nothing of it was sent.
  void FailExpired() {
    const TimePoint now = SteadyClock().Now();
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
      Job job = std::move(m_queue.begin()->second);
      m_queue.erase(m_queue.begin());
      job.m_handler(
          MakeError(UpstreamErrc::kNotStarted, "deadline passed in the queue"));
    }
  }

  void ScheduleExpiry() {
    if (m_queue.empty()) {
      m_queue_timer.cancel();
      return;
    }
    m_queue_timer.expires_at(m_queue.begin()->first);
    m_queue_timer.async_wait([weak = weak_from_this()](auto error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) {
        self->StartWhatFits();
      }
    });
  }

  std::shared_ptr<HttpClient> TakeConnection() {
    if (!m_idle.empty()) {
      std::shared_ptr<HttpClient> client = std::move(m_idle.back());
      m_idle.pop_back();
      return client;
    }
    if (m_connections >= m_connection_share) {
      return nullptr;
    }
    ++m_connections;
    HttpClientSettings settings;
    settings.m_endpoint = m_upstream.m_endpoint;
    return std::make_shared<HttpClient>(m_context, settings);
  }

  void Run(Job job, std::shared_ptr<HttpClient> client) {
    ++m_running;
    JR_CHECK(m_running <= m_upstream.m_slots);
    m_running_calls.insert(job.m_call);
    const Milliseconds timeout(
        std::max(1U, RemainingMs(SteadyClock().Now(), job.m_deadline)));
    HttpClient& connection = *client;
    connection.Send(
        std::move(job.m_request), timeout,
        [self = shared_from_this(), client = std::move(client),
         call = std::move(job.m_call),
         handler = std::move(job.m_handler)](NetResult<HttpReply> reply) {
          asio::post(self->m_strand,
                     [self, client, call, handler, reply = std::move(reply)] {
                       self->OnReply(client, call, handler, reply);
                     });
        });
  }

  void OnReply(const std::shared_ptr<HttpClient>& client,
               const std::string& call,
               const ReplyHandler& handler,
               const NetResult<HttpReply>& reply) {
    JR_CHECK(m_running > 0);
    --m_running;
    m_running_calls.erase(call);
    if (client->IsOpen()) {
      m_idle.push_back(client);
    } else {
      --m_connections;
    }
    if (reply) {
      handler(reply.assume_value());
    } else {
      handler(FromNet(reply.error()));
    }
    StartWhatFits();
  }

  void CancelNow(const std::string& call, const HttpRequest& cancel_request) {
    // Withdraw it from the queue
    for (auto job = m_queue.begin(); job != m_queue.end(); ++job) {
      if (job->second.m_call == call) {
        const ReplyHandler handler = std::move(job->second.m_handler);
        m_queue.erase(job);
        m_queued = static_cast<std::uint32_t>(m_queue.size());
        handler(MakeError(UpstreamErrc::kCancelled, "withdrawn"));
        return;
      }
    }

    // Tell the upstream if it runs and a connection is to be had
    if (m_running_calls.count(call) == 0) {
      return;
    }
    std::shared_ptr<HttpClient> client = TakeConnection();
    if (client == nullptr) {
      return;
    }
    HttpClient& connection = *client;
    connection.Send(cancel_request, kCancelTimeout,
                    [self = shared_from_this(),
                     client = std::move(client)](const NetResult<HttpReply>&) {
                      asio::post(self->m_strand,
                                 [self, client] { self->GiveBack(client); });
                    });
  }

  void GiveBack(const std::shared_ptr<HttpClient>& client) {
    if (client->IsOpen()) {
      m_idle.push_back(client);
    } else {
      --m_connections;
    }
    StartWhatFits();
  }

  static constexpr Milliseconds kCancelTimeout{200};

  asio::io_context& m_context;
  const Upstream m_upstream;
  const std::uint32_t m_connection_share;
  asio::strand<asio::io_context::executor_type> m_strand;
  asio::steady_timer m_queue_timer;
  Queue m_queue;
  std::unordered_set<std::string> m_running_calls;
  std::vector<std::shared_ptr<HttpClient>> m_idle;
  std::uint32_t m_connections = 0;
  std::atomic<std::uint32_t> m_running{0};
  std::atomic<std::uint32_t> m_queued{0};
  std::atomic<bool> m_draining{false};
};

UpstreamPool::UpstreamPool(asio::io_context& context, Upstream upstream)
    : m_impl(std::make_shared<Impl>(context, std::move(upstream))) {}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::Submit(std::string call,
                          HttpRequest request,
                          TimePoint deadline,
                          ReplyHandler handler) {
  m_impl->Submit(std::move(call), std::move(request), deadline,
                 std::move(handler));
}

void UpstreamPool::Cancel(std::string call, HttpRequest cancel_request) {
  m_impl->Cancel(std::move(call), std::move(cancel_request));
}

void UpstreamPool::MarkDraining() {
  m_impl->MarkDraining();
}

UpstreamLoad UpstreamPool::Load() const {
  return m_impl->Load();
}

const Upstream& UpstreamPool::Target() const {
  return m_impl->Target();
}

}  // namespace jackdawrack
