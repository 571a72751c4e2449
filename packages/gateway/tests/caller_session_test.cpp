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
class AnsweringRun final : public RoutedRun {
 public:
  AnsweringRun(AnswerHandler answer, std::shared_ptr<bool> is_gone)
      : m_answer(std::move(answer)), m_is_gone(std::move(is_gone)) {}
  ~AnsweringRun() override { *m_is_gone = true; }

  AnsweringRun(const AnsweringRun&) = delete;
  AnsweringRun& operator=(const AnsweringRun&) = delete;

  void Start() override {
    const auto is_gone = m_is_gone;
    const AnswerHandler answer = std::move(m_answer);
    answer(MakeOwnAnswer(503, "No replica is available."));
    s_was_gone = *is_gone;
  }

  void CallerLeft() override {}

  inline static bool s_was_gone = false;

 private:
  AnswerHandler m_answer;
  std::shared_ptr<bool> m_is_gone;
};

class AnsweringService final : public CallerService {
 public:
  [[nodiscard]] CallerLimits Limits() const override { return {}; }
  [[nodiscard]] bool KeepsConnections() const override { return false; }

  std::shared_ptr<RoutedRun> Serve(CallerMessage,
                                   TimePoint,
                                   RoutedRun::AnswerHandler answer) override {
    return std::make_shared<AnsweringRun>(std::move(answer),
                                          std::make_shared<bool>(false));
  }
};

TEST_CASE("a run that responds inside Start lives until Start returns") {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::ip::tcp::socket caller(context);
  caller.connect(acceptor.local_endpoint());
  AnsweringService service;
  const auto session =
      std::make_shared<CallerSession>(acceptor.accept(), service);
  session->Start();
  asio::write(caller, asio::buffer(std::string_view(
                          "GET / HTTP/1.1\r\nHost: app.test\r\n\r\n")));
  context.run_for(Milliseconds(200));

  asio::streambuf reply;
  asio::read_until(caller, reply, "\r\n");
  std::string status(12, '\0');
  std::istream(&reply).read(status.data(), 12);
  REQUIRE(status == "HTTP/1.1 503");
  REQUIRE_FALSE(AnsweringRun::s_was_gone);
}

}  // namespace
}  // namespace jackdawrack
