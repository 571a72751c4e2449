#include "standin/replica_standin.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <mutex>
#include <set>
#include <tuple>

#include "replica_answers.h"
#include "slot_queue.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using Socket = asio::ip::tcp::socket;
using SocketPtr = std::shared_ptr<Socket>;
using Message = http::request<http::string_body>;

constexpr std::string_view kLineEnd = "\r\n";

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

std::string Field(const Message& message, const char* name) {
  return std::string(message[name]);
}

}  // namespace

class ReplicaStandin::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, ReplicaStandinSettings settings)
      : m_settings(std::move(settings)),
        m_service_ms(m_settings.m_service_time.count()),
        m_strand(asio::make_strand(context)),
        m_acceptor(m_strand),
        m_slots(m_strand) {}

  bool Start() {
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(m_settings.m_endpoint.m_address, error),
        m_settings.m_endpoint.m_port);
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return false;
    }
    asio::co_spawn(m_strand, Accept(shared_from_this()), asio::detached);
    return true;
  }

  void SetMode(ReplicaMode mode, int count) {
    const std::lock_guard lock(m_mutex);
    m_mode = mode;
    m_mode_count = count;
  }

  void SetRawAnswer(RawAnswer answer) {
    const std::lock_guard lock(m_mutex);
    m_raw_answer = std::move(answer);
  }

  void SetExtraFields(std::string fields) {
    const std::lock_guard lock(m_mutex);
    m_extra_fields = std::move(fields);
  }

  void SetLateCopy(LateCopy copy) {
    const std::lock_guard lock(m_mutex);
    m_late_copy = std::move(copy);
  }

  void StopCopies() {
    const std::lock_guard lock(m_mutex);
    m_late_copy.reset();
  }

  void SetServiceTime(Milliseconds time) { m_service_ms = time.count(); }

  void SetCapacity(const ReplicaCapacity& capacity) {
    asio::post(m_strand, [self = shared_from_this(), capacity] {
      self->m_slots.SetCapacity(capacity);
    });
  }

  void Pause(Milliseconds time) {
    asio::post(m_strand, [self = shared_from_this(), time] {
      self->m_paused_until = SteadyClock().Now() + time;
    });
  }

  void Stop() {
    asio::post(m_strand, [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->m_acceptor.close(ignored);
      for (Socket* socket : self->m_sockets) {
        socket->close(ignored);
      }
    });
  }

  void Resume() {
    asio::post(m_strand, [self = shared_from_this()] {
      if (!self->m_acceptor.is_open()) {
        self->Start();
      }
    });
  }

  [[nodiscard]] std::vector<SeenRequest> Seen() const {
    const std::lock_guard lock(m_mutex);
    return m_seen;
  }

  [[nodiscard]] std::uint64_t Cancelled() const { return m_cancelled; }

 private:
  static asio::awaitable<void> Accept(std::shared_ptr<Impl> self) {
    while (self->m_acceptor.is_open()) {
      auto [error, socket] = co_await self->m_acceptor.async_accept(kTuple);
      if (error) {
        co_return;
      }
      asio::co_spawn(self->m_strand,
                     Serve(self, std::make_shared<Socket>(std::move(socket))),
                     asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     SocketPtr kept_socket) {
    Socket& socket = *kept_socket;
    self->m_sockets.insert(&socket);
    boost::beast::flat_buffer buffer;
    bool is_open = true;
    while (is_open) {
      http::request_parser<http::string_body> parser;
      const auto [head_error, head_size] =
          co_await http::async_read_header(socket, buffer, parser, kTuple);
      if (head_error) {
        break;
      }
      const ReplicaMode mode = self->TakeMode();
      if (mode == ReplicaMode::kEarly) {
        co_await self->AnswerEarly(socket, parser.get());
      }
      const auto [error, size] =
          co_await http::async_read(socket, buffer, parser, kTuple);
      if (error) {
        break;
      }
      is_open = mode == ReplicaMode::kEarly ||
                co_await self->Handle(socket, parser.get(), mode);
      if (is_open) {
        self->SendLateCopy(kept_socket, parser.get(), mode);
      }
    }
    self->m_sockets.erase(&socket);
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  void SendLateCopy(const SocketPtr& socket,
                    const Message& message,
                    ReplicaMode mode) {
    std::optional<LateCopy> copy;
    {
      const std::lock_guard lock(m_mutex);
      copy = m_late_copy;
    }
    if (!copy) {
      return;
    }
    std::string bytes = MakeCopy(AnswerFor(message, mode),
                                 Field(message, "X-Request-Id"), *copy);
    asio::co_spawn(m_strand,
                   WriteLater(socket, std::move(bytes), copy->m_delay),
                   asio::detached);
  }

  static asio::awaitable<void> WriteLater(SocketPtr socket,
                                          std::string bytes,
                                          Milliseconds delay) {
    asio::steady_timer timer(socket->get_executor(), delay);
    co_await timer.async_wait(kTuple);
    co_await asio::async_write(*socket, asio::buffer(bytes), kTuple);
  }

  // Sends the raw answer; false, as the connection ends with it.
  asio::awaitable<bool> SendRaw(Socket& socket, const Message& message) {
    RawAnswer answer;
    {
      const std::lock_guard lock(m_mutex);
      answer = m_raw_answer;
    }
    answer.m_bytes =
        FillRequestId(answer.m_bytes, Field(message, "X-Request-Id"));
    auto [error, size] = co_await asio::async_write(
        socket, asio::buffer(answer.m_bytes), kTuple);
    while (!error && !answer.m_repeated.empty()) {
      if (answer.m_interval > Milliseconds(0)) {
        asio::steady_timer pause(m_strand, answer.m_interval);
        co_await pause.async_wait(kTuple);
      }
      std::tie(error, size) = co_await asio::async_write(
          socket, asio::buffer(answer.m_repeated), kTuple);
    }
    if (!error && answer.m_end == RawEnd::kOpen) {
      co_await WaitForClose(socket);
    }
    boost::system::error_code ignored;
    if (answer.m_end == RawEnd::kReset) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
    co_return false;
  }

  ReplicaMode TakeMode() {
    const std::lock_guard lock(m_mutex);
    if (m_mode_count == 0) {
      return ReplicaMode::kAnswer;
    }
    m_mode_count -= m_mode_count > 0 ? 1 : 0;
    return m_mode;
  }

  void Note(const Message& message, ReplicaMode mode) {
    SeenRequest seen;
    seen.m_id = Field(message, "X-Request-Id");
    seen.m_method = std::string(message.method_string());
    seen.m_target = std::string(message.target());
    seen.m_body = message.body();
    const std::string deadline = Field(message, "X-Deadline-Ms");
    seen.m_deadline_ms = deadline.empty() ? 0 : std::stoull(deadline);
    seen.m_has_run =
        mode != ReplicaMode::kRefuse && mode != ReplicaMode::kMisdirected;
    const std::lock_guard lock(m_mutex);
    m_seen.push_back(std::move(seen));
  }

  // Takes the service time on a slot, and as long as the replica pauses.
  asio::awaitable<void> Work() {
    asio::steady_timer work(m_strand, Milliseconds(m_service_ms));
    co_await work.async_wait(kTuple);
    while (SteadyClock().Now() < m_paused_until) {
      work.expires_at(m_paused_until);
      co_await work.async_wait(kTuple);
    }
    m_slots.Release();
  }

  // Serves one request; false if the connection ends with it.
  asio::awaitable<bool> Handle(Socket& socket,
                               const Message& message,
                               ReplicaMode mode) {
    if (Field(message, "X-Expect-Instance") != m_settings.m_id) {
      mode = ReplicaMode::kMisdirected;
    }
    const bool has_slot = co_await m_slots.Take();
    if (!has_slot) {
      mode = ReplicaMode::kRefuse;
    }
    Note(message, mode);
    if (has_slot) {
      co_await Work();
    }
    if (mode == ReplicaMode::kHang) {
      co_await WaitForClose(socket);
      co_return false;
    }
    if (mode == ReplicaMode::kRaw) {
      co_return co_await SendRaw(socket, message);
    }
    if (mode == ReplicaMode::kReset) {
      boost::system::error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      co_return false;
    }
    const std::string answer = AnswerFor(message, mode);
    const auto [error, size] =
        co_await asio::async_write(socket, asio::buffer(answer), kTuple);
    m_cancelled += error ? 1 : 0;
    co_return !error && mode != ReplicaMode::kTruncate &&
        mode != ReplicaMode::kUnframed;
  }

  asio::awaitable<void> AnswerEarly(Socket& socket, const Message& message) {
    Note(message, ReplicaMode::kRefuse);
    const std::string answer = AnswerFor(message, ReplicaMode::kRefuse);
    co_await asio::async_write(socket, asio::buffer(answer), kTuple);
  }

  asio::awaitable<void> WaitForClose(Socket& socket) {
    co_await socket.async_wait(Socket::wait_read, kTuple);
    ++m_cancelled;
  }

  [[nodiscard]] std::string AnswerFor(const Message& message,
                                      ReplicaMode mode) const {
    std::string answer =
        MakeReplicaAnswer(m_settings, Field(message, "X-Request-Id"), mode);
    const std::lock_guard lock(m_mutex);
    return answer.insert(answer.find(kLineEnd) + kLineEnd.size(),
                         m_extra_fields);
  }

  const ReplicaStandinSettings m_settings;
  std::atomic<Milliseconds::rep> m_service_ms;
  asio::strand<asio::io_context::executor_type> m_strand;
  asio::ip::tcp::acceptor m_acceptor;
  SlotQueue m_slots;
  TimePoint m_paused_until{};
  std::set<Socket*> m_sockets;
  mutable std::mutex m_mutex;
  ReplicaMode m_mode = ReplicaMode::kAnswer;
  int m_mode_count = 0;
  RawAnswer m_raw_answer;
  std::string m_extra_fields;
  std::optional<LateCopy> m_late_copy;
  std::vector<SeenRequest> m_seen;
  std::atomic<std::uint64_t> m_cancelled{0};
};

ReplicaStandin::ReplicaStandin(asio::io_context& context,
                               ReplicaStandinSettings settings)
    : m_impl(std::make_shared<Impl>(context, std::move(settings))) {}

ReplicaStandin::~ReplicaStandin() = default;

bool ReplicaStandin::Start() {
  return m_impl->Start();
}

void ReplicaStandin::SetMode(ReplicaMode mode, int count) {
  m_impl->SetMode(mode, count);
}

void ReplicaStandin::SetRawAnswer(RawAnswer answer) {
  m_impl->SetRawAnswer(std::move(answer));
}

void ReplicaStandin::SetExtraFields(std::string fields) {
  m_impl->SetExtraFields(std::move(fields));
}

void ReplicaStandin::SetLateCopy(LateCopy copy) {
  m_impl->SetLateCopy(std::move(copy));
}

void ReplicaStandin::StopCopies() {
  m_impl->StopCopies();
}

void ReplicaStandin::SetServiceTime(Milliseconds time) {
  m_impl->SetServiceTime(time);
}

void ReplicaStandin::SetCapacity(const ReplicaCapacity& capacity) {
  m_impl->SetCapacity(capacity);
}

void ReplicaStandin::Pause(Milliseconds time) {
  m_impl->Pause(time);
}

void ReplicaStandin::Stop() {
  m_impl->Stop();
}

void ReplicaStandin::Resume() {
  m_impl->Resume();
}

std::vector<SeenRequest> ReplicaStandin::Seen() const {
  return m_impl->Seen();
}

std::uint64_t ReplicaStandin::Cancelled() const {
  return m_impl->Cancelled();
}

}  // namespace jackdawrack
