#include "model/endpoint.h"

#include <catch2/catch.hpp>

namespace jackdawrack {
namespace {

TEST_CASE("an endpoint is an IPv4 address and a port") {
  const auto endpoint = Endpoint::Parse("10.0.0.9:8080");
  REQUIRE(endpoint);
  REQUIRE(endpoint->m_address == "10.0.0.9");
  REQUIRE(endpoint->m_port == 8080);
  REQUIRE(endpoint->ToText() == "10.0.0.9:8080");
}

// A text of the right characters that is no address reached the sockets.
TEST_CASE("a text that is no IPv4 address and port is no endpoint") {
  for (const char* text : {"",
                           ":",
                           "8080",
                           ":8080",
                           "10.0.0.9",
                           "10.0.0.9:",
                           "[::1]:8080",
                           "::1:8080",
                           "bad:8080",
                           "localhost:8080",
                           "127.0.0.256:8080",
                           "127.0.0:8080",
                           "127.0.0.1.1:8080",
                           "127.0.0.1:65536",
                           "127.0.0.1:-1",
                           "127.0.0.1:99999999999999999999",
                           "127.0.0.1:80x",
                           " 127.0.0.1:80",
                           "127.0.0.1 :80",
                           "1:2:3:4"}) {
    INFO(text);
    REQUIRE_FALSE(Endpoint::Parse(text));
  }
}

TEST_CASE("an endpoint that names no single host cannot be connected to") {
  REQUIRE(Endpoint{"10.0.0.9", 8080}.IsConnectable());
  REQUIRE(Endpoint{"127.0.0.1", 1}.IsConnectable());
  for (const Endpoint& endpoint :
       {Endpoint{"10.0.0.9", 0}, Endpoint{"0.0.0.0", 80},
        Endpoint{"255.255.255.255", 80}, Endpoint{"224.0.0.1", 80},
        Endpoint{"[::1]", 80}, Endpoint{"", 80}}) {
    INFO(endpoint.ToText());
    REQUIRE_FALSE(endpoint.IsConnectable());
  }
}

}  // namespace
}  // namespace jackdawrack
