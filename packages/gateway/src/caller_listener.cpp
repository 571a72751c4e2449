#include "caller_listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/event.h"
#include "core/run_logged.h"
#include "net/listener.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);

/// Delay after a failed accept, which is mostly due to a lack of file
/// descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};

}  // namespace

CallerListener::CallerListener(asio::io_context& context,
                               Endpoint endpoint,
                               CallerRequestHandler& handler,
                               MemoryBudget& memory)
    : m_acceptor(context),
      m_endpoint(std::move(endpoint)),
      m_request_handler(handler),
      m_memory(memory) {}

NetResult<void> CallerListener::Start() {
  return OpenListener(m_acceptor, m_endpoint);
}

void CallerListener::BeginAccepting() {
  if (m_is_accepting || !m_acceptor.is_open()) {
    return;
  }
  m_is_accepting = true;
  asio::co_spawn(m_acceptor.get_executor(), AcceptLoop(),
                 [this](const std::exception_ptr& failure) {
                   // The next call of `BeginAccepting` starts the loop again
                   m_is_accepting = false;
                   if (failure) {
                     LogException("accept loop", failure);
                   }
                 });
}

asio::awaitable<void> CallerListener::AcceptLoop() {
  while (m_acceptor.is_open()) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwaitTuple);
    if (!error) {
      TryStartSession(std::move(socket));
      continue;
    }
    if (!m_acceptor.is_open()) {
      co_return;
    }
    LogEvent(EventId::kAcceptFailed, "reason=\"{}\"", error.message());
    asio::steady_timer pause(m_acceptor.get_executor(), kAcceptRetryDelay);
    co_await pause.async_wait(kAwaitTuple);
  }
}

void CallerListener::TryStartSession(asio::ip::tcp::socket socket) {
  try {
    StartSession(std::move(socket));
  } catch (...) {
    LogException("accepted connection", std::current_exception());
  }
}

void CallerListener::StartSession(asio::ip::tcp::socket socket) {
  m_sessions.push_back(std::make_shared<CallerSession>(
      std::move(socket), m_request_handler, m_memory));
  m_sessions.back()->Start();
}

void CallerListener::StopAccepting() {
  if (!m_acceptor.is_open()) {
    return;
  }
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    auto socket = m_acceptor.accept(error);
    if (!error) {
      TryStartSession(std::move(socket));
    }
  }
  m_acceptor.close(error);
}

void CallerListener::CloseTimedOut(TimePoint now) {
  m_sessions.remove_if([](const auto& session) { return session->IsClosed(); });
  for (const auto& session : m_sessions) {
    session->CloseIfTimedOut(now);
  }
}

void CallerListener::FinishRequests() {
  for (const auto& session : m_sessions) {
    RunLogged("last response", [&session] { session->FinishRequest(); });
  }
}

void CallerListener::CloseIdle(TimePoint now, Milliseconds min_idle_time) {
  for (const auto& session : m_sessions) {
    session->CloseIfIdle(now, min_idle_time);
  }
}

}  // namespace jackdawrack
