#include "core/run_context.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

namespace jackdawrack {
namespace {

// An exception in a handler ended the process.
TEST_CASE("a handler that throws does not keep the others from running") {
  boost::asio::io_context context;
  int runs = 0;
  boost::asio::post(context, [] { throw std::runtime_error("first"); });
  boost::asio::post(context, [&runs] { ++runs; });
  boost::asio::post(context, [] { throw 5; });
  boost::asio::post(context, [&runs] { ++runs; });
  RunContext(context);
  REQUIRE(runs == 2);
}

}  // namespace
}  // namespace jackdawrack
