#include "peer/peer_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <set>

#include "core/event.h"
#include "core/exception_log.h"
#include "net/listener.h"
#include "peer/peer_connection.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// Delay after a failed accept, which is mostly due to a lack of file
/// descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};

// Accepted connection. The peer's first frame is its hello; calls follow.
class PeerSession final : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(asio::ip::tcp::socket socket,
              const Hello& self,
              const PeerService& service,
              const PeerTraffic& traffic)
      : m_executor(socket.get_executor()),
        m_connection(
            std::make_shared<PeerConnection>(std::move(socket), traffic)),
        m_self(self),
        m_service(service) {}

  void Start(std::function<void()> on_closed) {
    m_connection->Start(
        [self = shared_from_this()](PeerFrame frame) {
          std::visit(
              [&](auto& message) { self->HandleFrame(std::move(message)); },
              frame);
        },
        std::move(on_closed));
    m_connection->Send(m_self);
  }

  void SendGoodbye() {
    asio::post(m_executor, [self = shared_from_this()] {
      self->m_connection->Send(Goodbye{self->m_self.m_epoch});
    });
  }

  void Close() {
    asio::post(m_executor,
               [self = shared_from_this()] { self->m_connection->Close(); });
  }

 private:
  void HandleFrame(Hello hello) {
    if (hello.m_protocol != kPeerProtocolVersion) {
      LogEvent(EventId::kPeerRefused, "peer={} protocol={}",
               hello.m_instance.Text(), hello.m_protocol);
      m_connection->Close();
      return;
    }
    m_peer = std::move(hello);
  }

  void HandleFrame(Heartbeat heartbeat) { m_connection->Send(heartbeat); }

  void HandleFrame(SubQuery query) {
    m_service.m_on_sub_query(std::move(query), MakeSink<SubAnswer>());
  }

  void HandleFrame(Cancel cancel) { m_service.m_on_cancel(cancel.m_call); }

  void HandleFrame(RunRequest request) {
    m_service.m_on_run_request(std::move(request), MakeSink<RunAnswer>());
  }

  void HandleFrame(ControlCall call) {
    auto sink = MakeSink<ControlReply>();
    m_service.m_on_control(m_peer, std::move(call.m_text),
                           [sink, number = call.m_number](std::string text) {
                             sink(ControlReply{number, std::move(text)});
                           });
  }

  void HandleFrame(ShareRequest request) {
    auto sink = MakeSink<ShareReply>();
    m_service.m_on_share_request(
        m_peer, std::move(request.m_shares),
        [sink, number = request.m_number](ShareGrants grants) {
          sink(ShareReply{number, std::move(grants)});
        });
  }

  void HandleFrame(LeaseCall call) {
    m_connection->Send(LeaseReply{
        call.m_number, m_service.m_on_lease_call(std::move(call.m_body))});
  }

  // A peer must not send replies or a goodbye on an accepted connection.
  void HandleFrame(const SubAnswer&) { m_connection->Close(); }
  void HandleFrame(const RunAnswer&) { m_connection->Close(); }
  void HandleFrame(const ControlReply&) { m_connection->Close(); }
  void HandleFrame(const ShareReply&) { m_connection->Close(); }
  void HandleFrame(const LeaseReply&) { m_connection->Close(); }
  void HandleFrame(const Goodbye&) { m_connection->Close(); }

  template <typename Message>
  std::function<void(Message)> MakeSink() {
    return [self = shared_from_this()](Message message) {
      asio::post(self->m_executor, [self, message = std::move(message)] {
        self->m_connection->Send(message);
      });
    };
  }

  asio::any_io_executor m_executor;
  std::shared_ptr<PeerConnection> m_connection;
  const Hello& m_self;
  const PeerService& m_service;
  Hello m_peer;
};

}  // namespace

class PeerServer::Impl final : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       Endpoint endpoint,
       Hello self,
       PeerService service,
       const PeerTraffic& traffic)
      : m_context(context),
        m_endpoint(std::move(endpoint)),
        m_self(std::move(self)),
        m_service(std::move(service)),
        m_traffic(traffic),
        m_acceptor(asio::make_strand(context)),
        m_accept_timer(m_acceptor.get_executor()) {}

  NetResult<void> Start() {
    auto opened = OpenListener(m_acceptor, m_endpoint);
    if (opened) {
      Accept();
    }
    return opened;
  }

  void SendGoodbye() {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      self->m_is_stopping = true;
      for (const auto& session : self->m_sessions) {
        session->SendGoodbye();
      }
    });
  }

  [[nodiscard]] std::size_t OpenConnections() const {
    return m_open_connections;
  }

  void Stop() {
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
      boost::system::error_code ignored;
      self->m_acceptor.close(ignored);
      self->m_accept_timer.cancel();
      for (const auto& session : self->m_sessions) {
        session->Close();
      }
    });
  }

 private:
  void Accept() {
    m_acceptor.async_accept(
        asio::make_strand(m_context),
        [self = shared_from_this()](auto error, asio::ip::tcp::socket socket) {
          if (!self->m_acceptor.is_open()) {
            return;
          }
          if (error) {
            LogEvent(EventId::kAcceptFailed, "reason=\"{}\"", error.message());
            self->AcceptLater();
            return;
          }
          self->Accept();
          self->TryStartSession(std::move(socket));
        });
  }

  void AcceptLater() {
    m_accept_timer.expires_after(kAcceptRetryDelay);
    m_accept_timer.async_wait([self = shared_from_this()](auto error) {
      if (!error && self->m_acceptor.is_open()) {
        self->Accept();
      }
    });
  }

  // Starts a session; an exception drops that connection only.
  void TryStartSession(asio::ip::tcp::socket socket) {
    try {
      StartSession(std::move(socket));
    } catch (...) {
      LogException("accepted connection", std::current_exception());
    }
  }

  void StartSession(asio::ip::tcp::socket socket) {
    const auto executor = socket.get_executor();
    auto session = std::make_shared<PeerSession>(std::move(socket), m_self,
                                                 m_service, m_traffic);
    m_sessions.insert(session);
    m_open_connections = m_sessions.size();
    asio::post(executor, [self = shared_from_this(), session] {
      session->Start([self, session] {
        asio::post(self->m_acceptor.get_executor(),
                   [self, session] { self->RemoveSession(session); });
      });
    });
    if (m_is_stopping) {
      session->SendGoodbye();
    }
  }

  void RemoveSession(const std::shared_ptr<PeerSession>& session) {
    m_sessions.erase(session);
    m_open_connections = m_sessions.size();
  }

  asio::io_context& m_context;
  const Endpoint m_endpoint;
  const Hello m_self;
  const PeerService m_service;
  const PeerTraffic m_traffic;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  std::set<std::shared_ptr<PeerSession>> m_sessions;
  bool m_is_stopping = false;
  std::atomic<std::size_t> m_open_connections{0};
};

PeerServer::PeerServer(asio::io_context& context,
                       Endpoint endpoint,
                       Hello self,
                       PeerService service,
                       const PeerTraffic& traffic)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(endpoint),
                                    std::move(self),
                                    std::move(service),
                                    traffic)) {}

PeerServer::~PeerServer() {
  Stop();
}

NetResult<void> PeerServer::Start() {
  return m_impl->Start();
}

void PeerServer::SendGoodbye() {
  m_impl->SendGoodbye();
}

std::size_t PeerServer::OpenConnections() const {
  return m_impl->OpenConnections();
}

void PeerServer::Stop() {
  m_impl->Stop();
}

}  // namespace jackdawrack
