#include "caller_session.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

namespace asio = boost::asio;

/// A run that responds inside `Start` and records whether it was destroyed
/// before `Start` returned.
class ImmediateRun final : public RoutedRun {
 public:
  ImmediateRun(AnswerHandler answer, std::shared_ptr<bool> is_destroyed)
      : m_answer(std::move(answer)), m_is_destroyed(std::move(is_destroyed)) {}
  ~ImmediateRun() override { *m_is_destroyed = true; }

  ImmediateRun(const ImmediateRun&) = delete;
  ImmediateRun& operator=(const ImmediateRun&) = delete;

  void Start() override {
    const auto is_destroyed = m_is_destroyed;
    const AnswerHandler answer = std::move(m_answer);
    answer(MakeOwnAnswer(503, "No replica is available."));
    s_was_destroyed_early = *is_destroyed;
  }

  void CallerLeft() override {}

  inline static bool s_was_destroyed_early = false;

 private:
  AnswerHandler m_answer;
  std::shared_ptr<bool> m_is_destroyed;
};

class ImmediateHandler final : public CallerRequestHandler {
 public:
  [[nodiscard]] CallerLimits Limits() const override { return {}; }
  [[nodiscard]] bool AllowsKeepAlive() const override { return false; }

  std::shared_ptr<RoutedRun> Serve(CallerMessage,
                                   TimePoint,
                                   RoutedRun::AnswerHandler answer) override {
    return std::make_shared<ImmediateRun>(std::move(answer),
                                          std::make_shared<bool>(false));
  }
};

TEST_CASE("a run that responds inside Start lives until Start returns") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::ip::tcp::socket caller(context);
  caller.connect(acceptor.local_endpoint());
  ImmediateHandler handler;
  const auto session =
      std::make_shared<CallerSession>(acceptor.accept(), handler);
  session->Start();
  asio::write(caller, asio::buffer(std::string_view(
                          "GET / HTTP/1.1\r\nHost: app.test\r\n\r\n")));
  context.run_for(Milliseconds(200));

  asio::streambuf reply;
  asio::read_until(caller, reply, "\r\n");
  std::string status(12, '\0');
  std::istream(&reply).read(status.data(), 12);
  REQUIRE(status == "HTTP/1.1 503");
  REQUIRE_FALSE(ImmediateRun::s_was_destroyed_early);
}

}  // namespace
}  // namespace jackdawrack
