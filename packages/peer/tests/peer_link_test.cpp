#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>
#include <limits>

#include "peer/frame_codec.h"
#include "peer/peer_router.h"
#include "peer/peer_server.h"

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

constexpr Milliseconds kRunTime{300};

std::string ToBytes(const PeerFrame& frame) {
  const std::string body = BinaryCodec::Encode(frame);
  std::string bytes(sizeof(std::uint32_t), '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(bytes.data()),
                               static_cast<std::uint32_t>(body.size()));
  return bytes + body;
}

Hello MakeHello(const char* instance) {
  Hello hello;
  hello.m_instance = InstanceId(instance);
  hello.m_epoch = 1;
  return hello;
}

Endpoint FreeEndpoint() {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(context,
                                         {asio::ip::address_v4::loopback(), 0});
  return Endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
}

/// The acceptor of a peer, and a router that calls it.
class CalledPeer final {
 public:
  CalledPeer()
      : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_router(m_context, MakeHello("caller"), PeerService{}, m_traffic),
        m_socket(m_context) {
    m_acceptor.async_accept(m_socket,
                            [this](auto error) { m_is_connected = !error; });
  }

  [[nodiscard]] Instance Target() const {
    return Instance{InstanceId("peer"), FailureDomain("east"),
                    Endpoint{"127.0.0.1", m_acceptor.local_endpoint().port()},
                    InstanceState::kLive};
  }

  void Run() {
    m_context.restart();
    m_context.run_for(kRunTime);
  }

  // Sends frames to the router, once it has connected.
  void Answer(const std::vector<PeerFrame>& frames) {
    Run();
    REQUIRE(m_is_connected);
    std::string bytes;
    for (const PeerFrame& frame : frames) {
      bytes += ToBytes(frame);
    }
    asio::write(m_socket, asio::buffer(bytes));
    Run();
  }

  PeerRouter& Router() { return m_router; }

 private:
  asio::io_context m_context;
  MetricsRegistry m_metrics;
  const PeerTraffic m_traffic{m_metrics};
  asio::ip::tcp::acceptor m_acceptor;
  PeerRouter m_router;
  asio::ip::tcp::socket m_socket;
  bool m_is_connected = false;
};

// The request was sent twice, which ended the process by a check.
TEST_CASE("a peer that sends its hello twice is refused") {
  CalledPeer peer;
  RunRequest request;
  request.m_call = CallId{RequestId{1, 2}, 3};
  std::vector<RunAnswer> answers;
  peer.Router().Send(peer.Target(), request, [&](const RunAnswer& answer) {
    answers.push_back(answer);
  });
  peer.Answer({MakeHello("peer"), MakeHello("peer")});
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].m_reason == "owner_lost");
}

// The process ended by a check on the range.
TEST_CASE("a frame with a range that is not one of keys is refused") {
  CalledPeer peer;
  SubQuery query;
  query.m_call = CallId{RequestId{1, 2}, 3};
  query.m_ranges = {KeyRange{0, 10}};
  for (const KeyRange odd :
       {KeyRange{10, 10}, KeyRange{20, 10}, KeyRange{0, kKeySpaceEnd + 1}}) {
    SubAnswer answer;
    answer.m_call = query.m_call;
    answer.m_ranges = {RangeAnswer{odd, MissReason::kNone, {}, {}}};
    CHECK_FALSE(BinaryCodec::Decode(BinaryCodec::Encode(answer)).has_value());
    SubQuery odd_query = query;
    odd_query.m_ranges.push_back(odd);
    CHECK_FALSE(
        BinaryCodec::Decode(BinaryCodec::Encode(odd_query)).has_value());
  }
  SubAnswer odd_answer;
  odd_answer.m_call = query.m_call;
  odd_answer.m_ranges = {
      RangeAnswer{KeyRange{20, 10}, MissReason::kNone, {}, {}}};
  std::vector<SubAnswer> answers;
  peer.Router().Send(peer.Target(), query, [&](const SubAnswer& answer) {
    answers.push_back(answer);
  });
  peer.Answer({MakeHello("peer"), odd_answer});
  REQUIRE(answers.size() == 1);
  REQUIRE(answers[0].m_ranges.size() == 1);
  CHECK(answers[0].m_ranges[0].m_range == KeyRange{0, 10});
  CHECK(answers[0].m_ranges[0].m_reason == MissReason::kUnreachable);
}

bool IsDecoded(const PeerFrame& frame) {
  return BinaryCodec::Decode(BinaryCodec::Encode(frame)).has_value();
}

// The process ended by a check on the shard's key, or on the share with which
// the next request was admitted.
TEST_CASE("a frame with a key or share out of its range is refused") {
  RunRequest run;
  run.m_shard_key = kKeySpaceEnd - 1;
  CHECK(IsDecoded(run));
  run.m_shard_key = kKeySpaceEnd;
  CHECK_FALSE(IsDecoded(run));
  for (const double odd : {-0.5, std::numeric_limits<double>::quiet_NaN(),
                           std::numeric_limits<double>::infinity()}) {
    ShareRequest request;
    request.m_shares = {ContractShare{Customer("acme"), odd}};
    CHECK_FALSE(IsDecoded(request));
    ShareReply reply;
    reply.m_grants.m_grants = request.m_shares;
    CHECK_FALSE(IsDecoded(reply));
  }
  ShareRequest request;
  request.m_shares = {ContractShare{Customer("acme"), 0.5}};
  CHECK(IsDecoded(request));
}

// The connection stayed open and was not read any more.
TEST_CASE("a connection whose frame cannot be handled is closed") {
  asio::io_context context;
  MetricsRegistry metrics;
  const PeerTraffic traffic(metrics);
  const Endpoint endpoint = FreeEndpoint();
  PeerService service;
  service.m_on_cancel = [](CallId) { throw std::runtime_error("cancel"); };
  PeerServer server(context, endpoint, MakeHello("server"), service, traffic);
  REQUIRE(server.Start());
  asio::io_context peer_context;
  asio::ip::tcp::socket peer(peer_context);
  peer.connect({asio::ip::address_v4::loopback(), endpoint.m_port});
  asio::write(peer, asio::buffer(ToBytes(MakeHello("peer")) +
                                 ToBytes(Cancel{CallId{}})));
  try {
    context.run_for(kRunTime);
  } catch (const std::runtime_error&) {
    // Logged by `RunContext` in the daemon
    context.run_for(kRunTime);
  }
  CHECK(server.OpenConnections() == 0);
}

// Accepts failed in a loop without a pause and took a whole core.
TEST_CASE("a lack of descriptors pauses the accepting of peers") {
  constexpr std::size_t kMaxHandlers = 50;
  asio::io_context context;
  MetricsRegistry metrics;
  const PeerTraffic traffic(metrics);
  const Endpoint endpoint = FreeEndpoint();
  PeerServer server(context, endpoint, MakeHello("server"), PeerService{},
                    traffic);
  REQUIRE(server.Start());
  asio::io_context peer_context;
  asio::ip::tcp::socket peer(peer_context);
  peer.connect({asio::ip::address_v4::loopback(), endpoint.m_port});

  // Allow no further descriptor
  rlimit limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  const rlimit few{static_cast<rlim_t>(peer.native_handle()) + 1,
                   limit.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
  std::vector<int> used;
  for (int copy = dup(0); copy >= 0; copy = dup(0)) {
    used.push_back(copy);
  }
  const std::size_t handlers = context.run_for(kRunTime);
  std::for_each(used.begin(), used.end(), close);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  CHECK(handlers < kMaxHandlers);
  CHECK(server.OpenConnections() == 0);
  context.run_for(kRunTime);
  CHECK(server.OpenConnections() == 1);
}

}  // namespace
}  // namespace jackdawrack
